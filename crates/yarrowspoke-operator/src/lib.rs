//! Reads the operator's file: parses S-expressions into typed sections and checks them as a whole.
//!
//! Each top-level form is a section, `(name (field value) ...)`, that may occur once. An absent section is off. All faults of
//! a file are found in one pass, each with its line, its column, what was found and what was expected.

pub mod fleet;
mod read;
pub mod rules;
pub mod store;

use fleet::FleetSection;
use read::Form;
use rules::Rules;
use std::fmt;
use std::path::Path;
use store::StoreSettings;
use thiserror::Error;
use yarrowspoke::interface::ErrorRates;

/// All sections of an operator's file.
#[derive(Debug, Default)]
pub struct Operator {
    /// Error rates of fault detection; the decision module's defaults if absent.
    pub error_rates: Option<ErrorRates>,
    /// Rules that classify requests; none if absent.
    pub rules: Option<Rules>,
    /// Settings of the store that survives restarts; no store if absent.
    pub store: Option<StoreSettings>,
    /// The fleet that the front belongs to; the front runs on its own if absent.
    pub fleet: Option<FleetSection>,
}

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: found {}, expected {}", self.line, self.column, self.found, self.expected)
    }
}

/// Why an operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file has faults, in the order of their positions.
    #[error("{}", .faults.iter().map(|f| format!("{path}:{f}")).collect::<Vec<_>>().join("\n"))]
    Faults {
        /// Path of the file.
        path: String,
        /// Faults of the file.
        faults: Vec<Fault>,
    },
}

/// Reads and parses the file at `path`.
pub fn load(path: &Path) -> Result<Operator, OperatorError> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| OperatorError::File { path: path_text.clone(), source })?;
    parse(&text).map_err(|faults| OperatorError::Faults { path: path_text, faults })
}

/// Parses the text of a file. Returns its sections, or all its faults.
pub fn parse(text: &str) -> Result<Operator, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut operator = Operator::default();
    let sections = read::sections(text, &mut faults);
    for (n, section) in sections.iter().enumerate() {
        let name = section.name.as_str();
        if sections[..n].iter().any(|s| s.name == name) {
            faults.push(section.fault(&format!("the section {name} once")));
            continue;
        }
        match name {
            "verdicts" => operator.error_rates = Some(verdicts(section, &mut faults)),
            "fleet" => operator.fleet = fleet::fleet(section, &mut faults),
            "rules" => operator.rules = rules::rules(section, text, &mut faults),
            "store" => operator.store = store::store(section, &mut faults),
            _ => faults.push(section.fault("one of the sections: fleet, rules, store, verdicts")),
        }
    }
    faults.sort_by_key(|f| (f.line, f.column));
    if faults.is_empty() {
        Ok(operator)
    } else {
        Err(faults)
    }
}

fn verdicts(section: &Form, faults: &mut Vec<Fault>) -> ErrorRates {
    let mut rates = ErrorRates {
        false_rollback: f64::NAN,
        missed_fault: f64::NAN,
        min_failure_increase: f64::NAN,
        min_slowdown: f64::NAN,
    };
    for field in section.fields(faults) {
        let is_rate = |x: f64| x > 0.0 && x < 0.5;
        let (slot, is_valid, expected): (&mut f64, fn(f64) -> bool, &str) = match field.name.as_str() {
            "false-alarm" => (&mut rates.false_rollback, is_rate, "a rate above 0 and under 0.5"),
            "miss" => (&mut rates.missed_fault, is_rate, "a rate above 0 and under 0.5"),
            "least-fault" => {
                (&mut rates.min_failure_increase, |x| x > 0.0 && x <= 0.9, "a share above 0, at most 0.9")
            }
            "least-slowness" => {
                (&mut rates.min_slowdown, |x| x > 1.15 && x <= 100.0, "a multiple above 1.15, at most 100")
            }
            _ => {
                faults.push(field.fault("one of the fields: false-alarm, miss, least-fault, least-slowness"));
                continue;
            }
        };
        if !slot.is_nan() {
            faults.push(field.fault("each field once"));
        } else if let Some(x) = field.number(expected, faults, is_valid) {
            *slot = x;
        }
    }
    let values = [
        ("false-alarm", rates.false_rollback),
        ("miss", rates.missed_fault),
        ("least-fault", rates.min_failure_increase),
        ("least-slowness", rates.min_slowdown),
    ];
    let present = section.names();
    for (name, _) in values.iter().filter(|f| f.1.is_nan() && !present.iter().any(|n| n == f.0)) {
        faults.push(section.fault(&format!("the field {name} in it")));
    }
    rates
}
