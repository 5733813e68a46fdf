//! The section `store`: what outlasts a restart, and where.

use crate::read::Form;
use crate::Fault;
use std::path::PathBuf;

/// The section.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// The directory, this front's alone.
    pub directory: PathBuf,
    /// Microseconds for which an ended request is remembered.
    pub retention: u64,
    /// Most bytes of all records.
    pub max_bytes: u64,
    /// Answers up to so many bytes are kept, to be given again.
    pub max_answer_bytes: usize,
    /// Microseconds for which a group gathers at the most.
    pub group_delay: u64,
    /// Microseconds after which a disk that has not answered holds a request no longer.
    pub disk_timeout: u64,
    /// `GET /up` says no once the disk has failed.
    pub down_when_failed: bool,
    /// A snapshot is as good as told up to this age, in microseconds...
    pub full_trust_age: u64,
    /// ...and of no use from this one.
    pub no_trust_age: u64,
}

/// Reads the section.
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
        let mut seconds = |wanted: &str, least: f64, most: f64| {
            let s = field.number(wanted, faults, |s| (least..=most).contains(&s));
            s.map(|s| (s * 1e6) as u64)
        };
        match field.name.as_str() {
            "directory" => {
                let path = field.text("a path as a string", faults);
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
                let wanted = "bytes, 100000 to 1000000000000";
                settings.max_bytes = field
                    .whole(wanted, faults, |n| (100_000..=1_000_000_000_000).contains(&n))
                    .unwrap_or(settings.max_bytes);
            }
            "answers" => {
                let most = field.whole("bytes, 0 to 65536", faults, |n| n <= 65_536);
                settings.max_answer_bytes = most.map_or(settings.max_answer_bytes, |n| n as usize);
            }
            "when-failed" => match field.word("serve or down", faults).as_deref() {
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
