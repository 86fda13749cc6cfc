//! Counts of the lines of many logs, by window of time, in bounded memory.

use std::collections::{BTreeMap, HashMap};

use pistachiotrack_core::request::FIRST_FAILURE_STATUS;
use serde::Serialize;

use super::{
    names::{Names, OTHER},
    window::{Cells, Failure, Refusal, ServiceOf, Window},
};
use crate::log_line;

/// Largest number of windows that are kept, the newest ones: two hours of the default length.
const MAX_WINDOWS: usize = 3_600;
const MAX_SERVICES: usize = 1_024;
const MAX_ENDPOINTS: usize = 16_384;
const MAX_VMS: usize = 8_192;
/// Largest number each of outcomes, choices and reasons. The daemon has fewer than 20 of each, and
/// answers have a status.
const MAX_LABELS: usize = 256;
/// Rows, counts and values over all windows, each of about 25 bytes.
const MAX_CELLS: usize = 4_000_000;

/// Numbers of lines by what became of them.
#[derive(Debug, Default, Serialize)]
pub(super) struct LineCounts {
    /// All lines.
    pub(super) read: u64,
    /// Failed attempts and refusals that the windows count.
    pub(super) counted: u64,
    /// Lines of other events and of attempts that didn't fail.
    pub(super) other: u64,
    /// Lines that can't be read.
    pub(super) unreadable: u64,
    /// Failed attempts and refusals in windows before the first one that is kept.
    pub(super) before_first_window: u64,
    /// Lines that the VMs left out of their logs.
    pub(super) left_out: u64,
}

/// Counts by window of time.
#[derive(Debug)]
pub(super) struct Tally {
    window_ms: i64,
    pub(super) lines: LineCounts,
    /// Windows by their number since 1970.
    pub(super) windows: BTreeMap<i64, Window>,
    pub(super) cells: Cells,
    pub(super) services: Names,
    pub(super) endpoints: Names,
    pub(super) vms: Names,
    pub(super) outcomes: Names,
    pub(super) choices: Names,
    pub(super) reasons: Names,
    /// Services of the endpoints.
    service_of: HashMap<u32, u32>,
    /// Lines that a VM left out just before the next line of the same input.
    left_out_before_next: u64,
    /// Window of the last line of the input.
    last_window: Option<i64>,
}

/// Pairs of a line that are used.
#[derive(Debug, Default)]
struct Pairs<'a> {
    time: Option<&'a str>,
    event: Option<&'a str>,
    service: Option<&'a str>,
    endpoint: Option<&'a str>,
    outcome: Option<&'a str>,
    choice: Option<&'a str>,
    to: Option<&'a str>,
    decided_by: Option<&'a str>,
    reason: Option<&'a str>,
    retry_after_ms: Option<&'a str>,
    age_ms: Option<&'a str>,
    sent: Option<&'a str>,
    count: Option<&'a str>,
}

impl<'a> Pairs<'a> {
    fn of(line: &'a str) -> Pairs<'a> {
        let mut pairs = Pairs::default();
        for (key, value) in log_line::fields(line) {
            let pair = match key {
                "time" => &mut pairs.time,
                "event" => &mut pairs.event,
                "service" => &mut pairs.service,
                "endpoint" => &mut pairs.endpoint,
                "outcome" => &mut pairs.outcome,
                "choice" => &mut pairs.choice,
                "to" => &mut pairs.to,
                "decided_by" => &mut pairs.decided_by,
                "reason" => &mut pairs.reason,
                "retry_after_ms" => &mut pairs.retry_after_ms,
                "age_ms" => &mut pairs.age_ms,
                "sent" => &mut pairs.sent,
                "count" => &mut pairs.count,
                _ => continue,
            };
            pair.get_or_insert(value);
        }
        pairs
    }
}

impl Tally {
    /// Returns an empty tally with windows of this length.
    pub(super) fn new(window_ms: i64) -> Tally {
        Tally {
            window_ms,
            lines: LineCounts::default(),
            windows: BTreeMap::new(),
            cells: Cells::new(MAX_CELLS),
            services: Names::new(MAX_SERVICES),
            endpoints: Names::new(MAX_ENDPOINTS),
            vms: Names::new(MAX_VMS),
            outcomes: Names::new(MAX_LABELS),
            choices: Names::new(MAX_LABELS),
            reasons: Names::new(MAX_LABELS),
            service_of: HashMap::new(),
            left_out_before_next: 0,
            last_window: None,
        }
    }

    /// Counts a line; `None` stands for one that is too long.
    pub(super) fn on_line(&mut self, line: Option<&str>) {
        if line.is_some_and(|line| line.trim().is_empty()) {
            return;
        }
        self.lines.read += 1;
        if line.and_then(|line| self.count(line)).is_none() {
            self.lines.unreadable += 1;
        }
    }

    /// Ends an input, which usually is the log of one VM.
    pub(super) fn on_input_end(&mut self) {
        if let Some(window) = self.last_window.take() {
            self.assign_lines_left_out(window);
        }
        self.left_out_before_next = 0;
    }

    /// Returns the service of a row of refusals, if it is known.
    pub(super) fn service(&self, service: ServiceOf) -> Option<u32> {
        match service {
            ServiceOf::Service(service) => Some(service),
            ServiceOf::Endpoint(endpoint) => self.service_of.get(&endpoint).copied(),
            ServiceOf::Unknown => None,
        }
    }

    /// Counts a line and returns `None` if it can't be read.
    fn count(&mut self, line: &str) -> Option<()> {
        let pairs = Pairs::of(line);
        let event = pairs.event?;
        if event == "log_lines_left_out" {
            // The line has no time of its own. The VM writes it before the line that follows.
            let count: u64 = pairs.count?.parse().ok()?;
            self.lines.left_out = self.lines.left_out.saturating_add(count);
            self.left_out_before_next = self.left_out_before_next.saturating_add(count);
            self.lines.other += 1;
            return Some(());
        }
        let window = log_line::unix_ms(pairs.time?)?.div_euclid(self.window_ms);
        match event {
            "attempt_ended" => self.count_attempt(window, &pairs)?,
            "refused" => self.count_refusal(window, line, &pairs)?,
            _ => self.lines.other += 1,
        }
        self.last_window = Some(window);
        self.assign_lines_left_out(window);
        Some(())
    }

    fn count_attempt(&mut self, window: i64, pairs: &Pairs<'_>) -> Option<()> {
        let outcome = Outcome::parse(pairs.outcome?)?;
        let (service, endpoint) = (pairs.service?, pairs.endpoint?);
        let service = self.services.number(service);
        let endpoint = self.endpoints.number(endpoint);
        if endpoint != OTHER && service != OTHER {
            self.service_of.entry(endpoint).or_insert(service);
        }
        if !outcome.is_failure {
            self.lines.other += 1;
            return Some(());
        }
        let outcome = self.outcomes.number(&outcome.label);
        let choice = self.choices.number(pairs.choice.unwrap_or("-"));
        let failure = Failure { service, endpoint, outcome, choice };
        self.in_window(window, |window, cells| window.on_failure(failure, cells));
        Some(())
    }

    fn count_refusal(&mut self, window: i64, line: &str, pairs: &Pairs<'_>) -> Option<()> {
        let reason = pairs.reason?;
        let age_ms = pairs.age_ms?.parse().ok()?;
        let retry_after_ms = optional_ms(pairs.retry_after_ms.unwrap_or("None"))?;
        let vm = pairs.decided_by.or_else(|| log_line::word_before_time(line));
        let refusal = Refusal {
            service: self.service_of_refusal(pairs),
            reason: self.reasons.number(reason),
            is_to_vm: pairs.to == Some("vm"),
            vm: vm.map(|vm| self.vms.number(vm)),
            age_ms,
            retry_after_ms,
        };
        self.in_window(window, |window, cells| window.on_refusal(&refusal, cells));
        Some(())
    }

    fn service_of_refusal(&mut self, pairs: &Pairs<'_>) -> ServiceOf {
        if let Some(service) = pairs.service {
            return ServiceOf::Service(self.services.number(service));
        }
        // Each copy is NAME/EXECUTION/AGE_MS.
        let copies = pairs.sent.unwrap_or_default().split(',');
        let mut names = copies.filter_map(|copy| copy.rsplitn(3, '/').nth(2)).peekable();
        let first = names.peek().copied();
        let services =
            names.find_map(|name| self.service_of.get(&self.endpoints.known_number(name)?));
        if let Some(&service) = services {
            return ServiceOf::Service(service);
        }
        match first.map(|name| self.endpoints.number(name)) {
            None | Some(OTHER) => ServiceOf::Unknown,
            Some(endpoint) => ServiceOf::Endpoint(endpoint),
        }
    }

    fn assign_lines_left_out(&mut self, number: i64) {
        let count = std::mem::take(&mut self.left_out_before_next);
        if count > 0
            && let Some((window, _)) = self.window(number)
        {
            window.lines_left_out = window.lines_left_out.saturating_add(count);
        }
    }

    /// Counts a line in a window.
    fn in_window(&mut self, number: i64, count: impl FnOnce(&mut Window, &mut Cells)) {
        if let Some((window, cells)) = self.window(number) {
            count(window, cells);
            self.lines.counted += 1;
        } else {
            self.lines.before_first_window += 1;
        }
    }

    /// Returns a window, or `None` if newer ones take all the room.
    fn window(&mut self, number: i64) -> Option<(&mut Window, &mut Cells)> {
        if self.windows.len() >= MAX_WINDOWS && !self.windows.contains_key(&number) {
            let first = self.windows.first_entry().filter(|first| *first.key() < number)?;
            let dropped = first.remove();
            self.lines.counted -= dropped.lines;
            self.lines.before_first_window += dropped.lines;
            self.cells.release(dropped.cells);
        }
        Some((self.windows.entry(number).or_default(), &mut self.cells))
    }

    /// Returns how often a name, row or value could not be kept.
    pub(super) fn not_kept(&self) -> u64 {
        let names = [
            &self.services,
            &self.endpoints,
            &self.vms,
            &self.outcomes,
            &self.choices,
            &self.reasons,
        ];
        self.cells.exhausted + names.iter().map(|names| names.exhausted).sum::<u64>()
    }
}

/// Outcome of an attempt as the lines have it.
#[derive(Debug)]
struct Outcome {
    label: String,
    is_failure: bool,
}

impl Outcome {
    /// Parses `Shed`, `Broken { fresh_connection: true }` or `Answered { status: 500, ... }`.
    fn parse(text: &str) -> Option<Outcome> {
        let name = text.split_whitespace().next()?;
        if name != "Answered" {
            return Some(Outcome { label: name.to_owned(), is_failure: true });
        }
        let digits = text.split_once("status:")?.1.trim_start();
        let end = digits.find(|character: char| !character.is_ascii_digit());
        let status: u16 = digits[..end.unwrap_or(digits.len())].parse().ok()?;
        Some(Outcome {
            label: format!("Answered {status}"),
            is_failure: status >= FIRST_FAILURE_STATUS,
        })
    }
}

/// Parses `None` or `Some(MS)`; the outer result is `None` for any other text.
fn optional_ms(text: &str) -> Option<Option<u64>> {
    if text == "None" {
        return Some(None);
    }
    text.strip_prefix("Some(")?.strip_suffix(')')?.parse().ok().map(Some)
}
