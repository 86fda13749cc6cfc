//! Names and other labels of log lines, a bounded number of each kind.

use std::collections::HashMap;

/// Number that stands for all names beyond the limits.
pub(super) const OTHER: u32 = 0;

const OTHER_NAME: &str = "(other)";
/// Longest name that is kept; names in configurations are shorter.
const MAX_NAME_BYTES: usize = 256;

/// Names with a number each, so that the rows of many windows can share them.
#[derive(Debug)]
pub(super) struct Names {
    numbers: HashMap<Box<str>, u32>,
    names: Vec<Box<str>>,
    max_names: usize,
    /// How often a name could not be kept.
    pub(super) exhausted: u64,
}

impl Names {
    /// Returns a set that keeps up to `max_names` names.
    pub(super) fn new(max_names: usize) -> Names {
        Names { numbers: HashMap::new(), names: vec![OTHER_NAME.into()], max_names, exhausted: 0 }
    }

    /// Returns the name's number, or [`OTHER`] if the name can't be kept.
    pub(super) fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        if self.numbers.len() >= self.max_names || name.len() > MAX_NAME_BYTES {
            self.exhausted += 1;
            return OTHER;
        }
        let number = u32::try_from(self.names.len()).unwrap_or(OTHER);
        self.names.push(name.into());
        self.numbers.insert(name.into(), number);
        number
    }

    /// Returns the number of a name that is already kept.
    pub(super) fn known_number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns the name with this number.
    pub(super) fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or(OTHER_NAME, |name| name)
    }
}
