//! Answers that HTTP doesn't allow: in the status, in a line of the head, in what tells the length of
//! the body, or in the chunks.

use std::fmt;

/// Statuses of each kind: below and above the final ones, with fewer or more digits than three, and none.
pub(crate) const STATUSES: [&str; 14] = [
    "000", "001", "099", "101", "600", "700", "999", "2", "20", "2000", "0200", "2oo", "abc", "-20",
];
/// Status lines that are none.
const STATUS_LINES: [&str; 9] = [
    "HTTP/1.1",
    "HTTP/1.1 ",
    "HTTP/1.1 2\u{1}00 OK",
    "HTTP/1.1 200\u{1} OK",
    "HTTP/2.1 200 OK",
    "HTP/1.1 200 OK",
    "HTTP 200 OK",
    "200 OK",
    "free slots",
];
/// Lines that tell the length of the body, or don't quite. `{length}` is the length.
const LENGTHS: [&str; 33] = [
    "Content-Length:",
    "Content-Length: x{length}",
    "Content-Length: {length}x",
    "Content-Length: 0x{length}",
    "Content-Length: 1 {length}",
    "Content-Length: {length} 0",
    "Content-Length: +{length}",
    "Content-Length: -{length}",
    "Content-Length: {length}.0",
    "Content-Length: {length}e0",
    "Content-Length: \"{length}\"",
    "Content-Length: {length},",
    "Content-Length: ,{length}",
    "Content-Length: {length}, {part}",
    "Content-Length: {part}\r\nContent-Length: {length}",
    "Content-Length: {length}\r\nContent-Length: {part}",
    "Content-Length: {length};",
    "Content-Length: 18446744073709551615",
    "Content-Length: 18446744073709551616",
    "Content-Length: 99999999999999999999999999999999999999",
    "Content-Length: \u{663}\u{666}",
    "Content-Length: {length}\u{a0}",
    "Content-Length: \u{2003}{length}",
    "Content-Length: {length}\u{1}",
    "Content-Length: {length}\0",
    "Content-Length: {length}\r\n 0",
    "Content-Length:\r\n {length}",
    "Content-Length : {length}",
    "Content-Length\t: {length}",
    "Content Length: {length}",
    "Content-\u{1}Length: {length}",
    "Content-Length\0: {length}",
    "Content-Length {length}",
];
/// Lines that tell that the body is sent in chunks, or don't quite, which the HTTP client doesn't take
/// for a head.
const UNREADABLE_CODINGS: [&str; 12] = [
    "Transfer-Encoding: chunked\u{1}",
    "Transfer-Encoding: chun\0ked",
    "Transfer-Encoding: chun\rked",
    "Transfer-Encoding:\r\n chunked",
    "Transfer-Encoding: chunked\r\n x",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\t: chunked",
    "Transfer Encoding: chunked",
    "Transfer-\u{1}Encoding: chunked",
    "Transfer-Encoding\0: chunked",
    "Transfer-Encoding chunked",
    "Transfer-Encoding",
];
/// Values that the HTTP client accepts and reads in one way or another.
const OTHER_CODINGS: [&str; 28] = [
    "",
    "chunkedx",
    "xchunked",
    "chunke",
    "chun ked",
    "chunked x",
    "chunked,",
    ",chunked",
    "chunked, chunked",
    "chunked\r\nTransfer-Encoding: chunked",
    "chunked\r\nTransfer-Encoding:",
    "\r\nTransfer-Encoding: chunked",
    "\"chunked\"",
    "'chunked'",
    "chunked;q=1",
    "chunked;",
    "chunked.",
    "gzip, chunked",
    "chunked, gzip",
    "identity, chunked",
    "identity",
    "gzip",
    "\u{a0}chunked",
    "chunked\u{a0}",
    "chunked\u{85}",
    "\u{2003}chunked",
    "chunked\u{3000}",
    "ch\u{fc}nked",
];
/// Lines of a head that are no fields.
const NO_FIELDS: [&str; 16] = [
    "free slots",
    "X-Office",
    ": 7",
    " X-Office: 7",
    "X Office: 7",
    "X-Office : 7",
    "X-\u{1}Office: 7",
    "X-\u{7f}Office: 7",
    "X\0Office: 7",
    "\"X-Office\": 7",
    "X/Office: 7",
    "X@Office: 7",
    "X-\u{d6}ffice: 7",
    "X-Office: 7\0",
    "X-Office: 7\r8",
    "HTTP/1.1 200 OK",
];
/// Sizes of a chunk that are none, or not that of the data behind them; `{size}` is its size.
const CHUNK_SIZES: [&str; 14] = [
    "\r\n",
    "x\r\n",
    "0x{size}\r\n",
    "+{size}\r\n",
    "-{size}\r\n",
    "{size}x\r\n",
    "{size} 0\r\n",
    "1{size}\0\r\n",
    "{size}\u{a0}\r\n",
    "{size}",
    "{size}\n",
    "ffffffffffffffff0\r\n",
    "1\r\n",
    "f{size}\r\n",
];

/// What recognizes that an answer is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusedBy {
    /// The parser of the HTTP client.
    Parser,
    /// The check that a status is a final one.
    FinalStatus,
    /// The check that a body has no other coding than chunks.
    Framing,
    /// The HTTP client's decoder of chunks, after the head.
    ChunkDecoder,
}

/// How the body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyForm {
    /// As it is.
    Plain,
    /// In chunks, the first of which begins with this line.
    Chunks(&'static str),
}

/// An answer that is none, whatever its fields and its body are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MalformedAnswer {
    /// What is malformed: one of its lines.
    malformed: String,
    status_line: String,
    /// Lines before all others, and behind them.
    first: String,
    last: String,
    body: BodyForm,
    /// What recognizes it.
    pub(crate) refused_by: RefusedBy,
}

/// Beginning of a chunk.
const CHUNK_START: &str = "{size}\r\n";
const CHUNKS: BodyForm = BodyForm::Chunks(CHUNK_START);
const LENGTH: &str = "Content-Length: {length}\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

impl Default for MalformedAnswer {
    fn default() -> MalformedAnswer {
        MalformedAnswer {
            malformed: String::new(),
            status_line: "HTTP/1.1 200 OK".to_owned(),
            first: String::new(),
            last: String::new(),
            body: BodyForm::Plain,
            refused_by: RefusedBy::Parser,
        }
    }
}

impl MalformedAnswer {
    /// Returns the answer with these lines in its head, and with this body. Its connection ends with
    /// it.
    pub(crate) fn bytes(&self, fields: &str, body: &str) -> String {
        let (first, second) = body.split_at(body.len() / 2);
        let content = match self.body {
            BodyForm::Plain => body.to_owned(),
            BodyForm::Chunks(start) => {
                let size = |text: &str| format!("{:x}", text.len());
                let (start, next) = (start.replace("{size}", &size(first)), size(second));
                format!("{start}{first}\r\n{next}\r\n{second}\r\n0\r\n\r\n")
            }
        };
        let head = format!("{}\r\n{}{fields}{}\r\n", self.status_line, self.first, self.last);
        let head = head.replace("{length}", &body.len().to_string());
        format!("{}{content}", head.replace("{part}", &first.len().to_string()))
    }

    /// Returns the answer with another status, if it has a status line of its own.
    pub(crate) fn with_status(mut self, status: &str) -> MalformedAnswer {
        self.status_line = self.status_line.replace("200 OK", status);
        self
    }

    /// Returns an answer that has arrived whole, with its fields and body in place of its own, but for
    /// the lines that tell the length of the body.
    pub(crate) fn replacing(&self, answer: &str) -> Option<String> {
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let mut fields = String::new();
        for line in head.lines().skip(1) {
            let name = line.split(':').next().unwrap_or_default().to_ascii_lowercase();
            if !["content-length", "transfer-encoding"].contains(&&*name) {
                fields += &format!("{line}\r\n");
            }
        }
        Some(self.bytes(&fields, body))
    }
}

impl fmt::Display for MalformedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MalformedAnswer { status_line, first, last, body, refused_by, .. } = self;
        write!(f, "{status_line:?} {first:?}..{last:?} {body:?} ({refused_by:?})")
    }
}

/// Returns answers with no status, or none of an answer.
fn with_other_status() -> Vec<MalformedAnswer> {
    let with = |status_line: String, refused_by| MalformedAnswer {
        malformed: status_line.clone(),
        status_line,
        last: LENGTH.to_owned(),
        refused_by,
        ..MalformedAnswer::default()
    };
    let statuses = STATUSES.map(|status| {
        let refused_by = match status.parse() {
            Ok(101 | 600..=999) => RefusedBy::FinalStatus,
            _ => RefusedBy::Parser,
        };
        with(format!("HTTP/1.1 {status} Status"), refused_by)
    });
    let lines = STATUS_LINES.map(|line| with(line.to_owned(), RefusedBy::Parser));
    statuses.into_iter().chain(lines).collect()
}

/// Returns answers whose head doesn't tell the length of the body, though it seems to.
fn with_other_length() -> Vec<MalformedAnswer> {
    let lengths = LENGTHS.map(|line| MalformedAnswer {
        malformed: line.to_owned(),
        last: format!("{line}\r\n"),
        ..MalformedAnswer::default()
    });
    lengths.into_iter().collect()
}

/// Returns answers in chunks whose head doesn't tell so, though it seems to; alone and beside a length.
fn with_other_coding() -> Vec<MalformedAnswer> {
    let unreadable = UNREADABLE_CODINGS.map(|line| (line.to_owned(), RefusedBy::Parser));
    let others =
        OTHER_CODINGS.map(|coding| (format!("Transfer-Encoding: {coding}"), RefusedBy::Framing));
    let mut answers = Vec::new();
    for (line, refused_by) in unreadable.into_iter().chain(others) {
        for length in ["", "Content-Length: {part}\r\n", LENGTH] {
            answers.push(MalformedAnswer {
                malformed: line.clone(),
                first: length.to_owned(),
                last: format!("{line}\r\n"),
                body: CHUNKS,
                refused_by,
                ..MalformedAnswer::default()
            });
        }
    }
    answers.push(MalformedAnswer {
        malformed: "HTTP/1.0".to_owned(),
        status_line: "HTTP/1.0 200 OK".to_owned(),
        last: CHUNKED.to_owned(),
        body: CHUNKS,
        ..MalformedAnswer::default()
    });
    answers
}

/// Returns answers with a line that is no field, first or last in a head that tells the length of the
/// body, that it is sent in chunks, or neither.
fn with_no_field() -> Vec<MalformedAnswer> {
    let mut answers = Vec::new();
    for line in NO_FIELDS {
        let malformed = line.to_owned();
        for (framing, body) in [(LENGTH, BodyForm::Plain), (CHUNKED, CHUNKS), ("", BodyForm::Plain)]
        {
            let line = format!("{line}\r\n");
            let before = (format!("{line}{framing}"), String::new());
            let behind = (String::new(), format!("{framing}{line}"));
            for (first, last) in [before, behind] {
                let malformed = malformed.clone();
                let answer = MalformedAnswer { malformed, first, last, body, ..Default::default() };
                answers.push(answer);
            }
        }
    }
    answers
}

/// Returns answers that can be told from others by their head.
pub(crate) fn malformed_heads() -> Vec<MalformedAnswer> {
    let parts = [with_other_status(), with_other_length(), with_other_coding(), with_no_field()];
    parts.into_iter().flatten().collect()
}

/// Returns one of these answers for each malformed line. From line to line it is the next of those that
/// differ in the place of the line and in what else tells the length of the body.
pub(crate) fn malformed_lines() -> Vec<MalformedAnswer> {
    let heads = malformed_heads();
    let groups = heads.chunk_by(|one, other| one.malformed == other.malformed);
    groups.enumerate().map(|(index, group)| group[index % group.len()].clone()).collect()
}

/// Returns answers whose head is in order, and whose chunks aren't.
pub(crate) fn malformed_chunks() -> Vec<MalformedAnswer> {
    let chunks = CHUNK_SIZES.map(|start| MalformedAnswer {
        malformed: start.to_owned(),
        last: CHUNKED.to_owned(),
        body: BodyForm::Chunks(start),
        refused_by: RefusedBy::ChunkDecoder,
        ..MalformedAnswer::default()
    });
    chunks.into_iter().collect()
}
