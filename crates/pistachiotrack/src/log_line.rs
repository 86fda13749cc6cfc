//! Log lines of the daemon: `key=value` pairs, which may follow a prefix that a log collector
//! added.

use std::io::{self, BufRead, Read as _};

use chrono::DateTime;

/// Longest line that is read; the daemon's own are far shorter.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Longest value with braces. The limit keeps the cost of a line with many unclosed braces linear.
const MAX_BRACED_BYTES: usize = 512;

/// Returns the value of the first `key=value` pair with this key.
pub(crate) fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    fields(line).find_map(|(found, value)| (found == key).then_some(value))
}

/// Returns the `key=value` pairs of a line, without those of a prefix. A value ends at
/// whitespace, except in braces that a space precedes, as in
/// `outcome=Answered { status: 500, fresh_connection: true }`.
pub(crate) fn fields(line: &str) -> Fields<'_> {
    Fields { rest: split_prefix(line).1 }
}

/// Returns the last word of the prefix, which is the VM's name where a log collector added it.
pub(crate) fn word_before_time(line: &str) -> Option<&str> {
    let word = split_prefix(line).0.split_whitespace().next_back()?;
    Some(word.strip_suffix(':').unwrap_or(word))
}

/// Splits a line before its first word that begins with `time=`. A line without such a word has
/// no prefix.
fn split_prefix(line: &str) -> (&str, &str) {
    let is_start = |&(index, _): &(usize, &str)| {
        line[..index].chars().next_back().is_none_or(char::is_whitespace)
    };
    let start = line.match_indices("time=").find(is_start).map_or(0, |(index, _)| index);
    line.split_at(start)
}

/// Iterator over the `key=value` pairs of a line.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    rest: &'a str,
}

impl<'a> Iterator for Fields<'a> {
    type Item = (&'a str, &'a str);

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let text = self.rest.trim_start();
            if text.is_empty() {
                return None;
            }
            let word_end = text.find(char::is_whitespace).unwrap_or(text.len());
            let Some(key_end) = text[..word_end].find('=') else {
                self.rest = &text[word_end..];
                continue;
            };
            let (key, value) = (&text[..key_end], &text[key_end + 1..]);
            let (value, rest) = value.split_at(value_end(value));
            self.rest = rest;
            return Some((key, value));
        }
    }
}

/// Returns the end of the value at the start of the text. Braces that aren't closed don't belong
/// to the value.
fn value_end(text: &str) -> usize {
    let mut depth = 0_usize;
    // Start of the current whitespace outside braces, and of the first one.
    let mut gap = None;
    let mut first_gap = None;
    for (index, character) in text.char_indices() {
        if depth > 0 && index > MAX_BRACED_BYTES {
            break;
        }
        match character {
            _ if character.is_whitespace() => {
                if depth == 0 {
                    gap = gap.or(Some(index));
                    first_gap = first_gap.or(gap);
                }
            }
            '{' if depth > 0 || gap.is_some() => {
                depth += 1;
                gap = None;
            }
            '}' if depth > 0 => depth -= 1,
            _ => {
                if let Some(end) = gap {
                    return end;
                }
            }
        }
    }
    let end = if depth > 0 { first_gap } else { gap };
    end.unwrap_or(text.len())
}

/// Returns the Unix time of a `time` value in milliseconds.
pub(crate) fn unix_ms(time: &str) -> Option<i64> {
    DateTime::parse_from_rfc3339(time).ok().map(|time| time.timestamp_millis())
}

/// Calls the function for each line, with `None` for one that is too long.
///
/// # Errors
///
/// Returns an error if the input can't be read.
pub(crate) fn for_each_line(
    mut input: impl BufRead,
    mut on_line: impl FnMut(Option<&str>),
) -> io::Result<()> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let limit = MAX_LINE_BYTES as u64 + 1;
        let read = input.by_ref().take(limit).read_until(b'\n', &mut line)?;
        if read == 0 {
            return Ok(());
        }
        if read > MAX_LINE_BYTES && line.last() != Some(&b'\n') {
            on_line(None);
            input.skip_until(b'\n')?;
        } else {
            on_line(Some(&String::from_utf8_lossy(&line)));
        }
    }
}
