//! The section `store`: settings of the store that survives restarts.

use crate::read::Form;
use crate::Fault;
use std::path::PathBuf;

/// Settings of the section.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Directory of the store, used by this front only.
    pub directory: PathBuf,
    /// How long the record of a finished request is kept, in microseconds.
    pub retention: u64,
    /// Maximum bytes of all records.
    pub max_bytes: u64,
    /// Maximum size in bytes of an answer that is stored to be replayed.
    pub max_answer_bytes: usize,
    /// Maximum time that a commit group collects operations, in microseconds.
    pub group_delay: u64,
    /// How long a request waits for a disk that does not respond, in microseconds.
    pub disk_timeout: u64,
    /// Whether `GET /up` reports failure once the disk has failed.
    pub down_when_failed: bool,
    /// Maximum age at which a snapshot is trusted like a list just received, in microseconds.
    pub full_trust_age: u64,
    /// Age from which a snapshot is not used, in microseconds.
    pub no_trust_age: u64,
}

/// Parses the section.
pub fn store(section: &Form, faults: &mut Vec<Fault>) -> Option<StoreSettings> {
    let before = faults.len();
    let mut settings = StoreSettings {
        directory: PathBuf::new(),
        retention: 600_000_000,
        max_bytes: 16 * 1024 * 1024,
        max_answer_bytes: 4_096,
        group_delay: 1_000,
        disk_timeout: 1_000_000,
        down_when_failed: false,
        full_trust_age: 10_000_000,
        no_trust_age: 3_600_000_000,
    };
    let fields = section.fields(faults);
    for (n, field) in fields.iter().enumerate() {
        if fields[..n].iter().any(|f| f.name == field.name) {
            faults.push(field.fault("each field once"));
            continue;
        }
        let mut seconds = |expected: &str, min: f64, max: f64| {
            let s = field.number(expected, faults, |s| (min..=max).contains(&s));
            s.map(|s| (s * 1e6) as u64)
        };
        match field.name.as_str() {
            "directory" => {
                let path = field.string("a path as a string", faults);
                settings.directory = path.map(PathBuf::from).unwrap_or_default();
            }
            "keep" => {
                settings.retention =
                    seconds("seconds, 1 to 604800", 1.0, 604_800.0).unwrap_or(settings.retention)
            }
            "delay" => {
                settings.group_delay = seconds("seconds, 0 to 0.1", 0.0, 0.1).unwrap_or(settings.group_delay)
            }
            "stuck" => {
                settings.disk_timeout =
                    seconds("seconds, 0.01 to 10", 0.01, 10.0).unwrap_or(settings.disk_timeout)
            }
            "fresh" => {
                settings.full_trust_age =
                    seconds("seconds, 0 to 3600", 0.0, 3_600.0).unwrap_or(settings.full_trust_age)
            }
            "stale" => {
                settings.no_trust_age =
                    seconds("seconds, 1 to 604800", 1.0, 604_800.0).unwrap_or(settings.no_trust_age)
            }
            "bytes" => {
                let expected = "bytes, 100000 to 1000000000000";
                settings.max_bytes = field
                    .integer(expected, faults, |n| (100_000..=1_000_000_000_000).contains(&n))
                    .unwrap_or(settings.max_bytes);
            }
            "answers" => {
                let bytes = field.integer("bytes, 0 to 65536", faults, |n| n <= 65_536);
                settings.max_answer_bytes = bytes.map_or(settings.max_answer_bytes, |n| n as usize);
            }
            "when-failed" => match field.name("serve or down", faults).as_deref() {
                Some("serve") => settings.down_when_failed = false,
                Some("down") => settings.down_when_failed = true,
                Some(_) => faults.push(field.fault_of_value("serve or down")),
                None => {}
            },
            _ => faults.push(field.fault(
                "one of the fields: directory, keep, bytes, answers, delay, stuck, when-failed, fresh, stale",
            )),
        }
    }
    if !fields.iter().any(|f| f.name == "directory") {
        faults.push(section.fault("the field directory in it"));
    } else if settings.full_trust_age >= settings.no_trust_age {
        faults.push(section.fault("fresh below stale"));
    }
    (faults.len() == before).then_some(settings)
}
