//! Checks of the settings. Values with which a front would malfunction without any sign are refused; the error states the
//! field, the value found and what was expected.

use serde_json::Value;
use std::collections::BTreeSet;
use yarrowspoke_settings::Settings;

/// A value of the settings that is not valid.
#[derive(Debug)]
pub struct Fault {
    /// Path of the field from the root of the settings.
    pub path: String,
    /// The value found and what was expected.
    pub why: String,
}

fn fault(path: impl Into<String>, why: String) -> Fault {
    Fault { path: path.into(), why }
}

/// Fields that take one of several words. A field that is absent or empty is not checked.
const WORD_FIELDS: [(&str, &[&str]); 4] = [
    ("MembershipMode", &["push", "ask"]),
    ("Domain.VoteMode", &["by_count", "first_voice", "automatic"]),
    ("Domain.CountedBy", &["all", "each_class"]),
    ("Domain.Style", &["replace", "parallel"]),
];
/// Fields of each class that take one of several words.
const CLASS_WORD_FIELDS: [(&str, &[&str]); 2] =
    [("Effect", &["repeatable", "by_key", "once"]), ("DedupScope", &["all", "zone", "cell"])];

/// Checks the fields that take a word. An unknown word would otherwise be read as another one, which could change what a class
/// allows.
pub fn check_words(settings: &Value) -> Result<(), Fault> {
    for (path, allowed) in WORD_FIELDS {
        let found = path.split('.').try_fold(settings, |at, key| at.get(key));
        check_word(path.to_owned(), found, allowed)?;
    }
    let classes = settings.get("Classes").and_then(Value::as_array);
    for (n, class) in classes.into_iter().flatten().enumerate() {
        for (key, allowed) in CLASS_WORD_FIELDS {
            check_word(format!("Classes[{n}].{key}"), class.get(key), allowed)?;
        }
    }
    Ok(())
}

fn check_word(path: String, found: Option<&Value>, allowed: &[&str]) -> Result<(), Fault> {
    match found.and_then(Value::as_str) {
        Some(word) if !word.is_empty() && !allowed.contains(&word) => {
            let allowed: Vec<_> = allowed.iter().map(|w| format!("{w:?}")).collect();
            Err(fault(path, format!("{word:?}, expected one of {}", allowed.join(", "))))
        }
        _ => Ok(()),
    }
}

/// Checks the numbers and names.
pub fn check_values(settings: &Settings) -> Result<(), Fault> {
    let (module, names) = (&settings.module, &settings.names);
    if module.max_attempts == 0 {
        return Err(fault("Bounds.MaxAttempts", "0, expected 1 or more: no request could be sent".into()));
    }
    let mut seen = BTreeSet::new();
    for (n, (class, name)) in module.classes.iter().zip(&names.classes).enumerate() {
        let field = |key: &str| format!("Classes[{n}].{key}");
        if name.is_empty() || !seen.insert(name) {
            return Err(fault(field("Name"), format!("{name:?}, expected a name that no other class has")));
        }
        for (key, micros) in [("DeadlineUs", class.deadline), ("AimUs", class.latency_target)] {
            if micros == 0 {
                return Err(fault(field(key), "0, expected a time in microseconds".into()));
            }
        }
        check_not_negative(field("Worth"), class.worth)?;
        check_share(field("LateWorth"), class.late_worth)?;
    }
    let mut seen = BTreeSet::new();
    for (n, (tenant, name)) in module.tenants.iter().zip(&names.tenants).enumerate() {
        if name.is_empty() || !seen.insert(name) {
            let why = format!("{name:?}, expected a name that no other tenant has");
            return Err(fault(format!("Tenants[{n}].Name"), why));
        }
        check_not_negative(format!("Tenants[{n}].QuotaRps"), tenant.quota_rps)?;
    }
    if module.fronts > 0 && module.front_id >= module.fronts {
        return Err(fault(
            "Me",
            format!("{}, expected less than PeersTotal, {}", module.front_id, module.fronts),
        ));
    }
    if !names.zones.is_empty() && usize::from(module.zone) >= names.zones.len() {
        let why =
            format!("{}, expected less than {}, as many as Localities has", module.zone, names.zones.len());
        return Err(fault("Zone", why));
    }
    for (key, all) in [("ExposureCaps", &module.release.caps), ("StageShare", &module.release.stage_shares)] {
        all.iter().enumerate().try_for_each(|(n, s)| check_share(format!("Domain.{key}[{n}]"), *s))?;
    }
    check_share("Domain.FlagShare".into(), module.release.complaint_share)?;
    check_share("Domain.SampledShare".into(), module.release.tally_sample_share)?;
    check_not_negative("Domain.SpareTries".into(), module.release.free_attempts)?;
    check_share("Safety.ColdFrom".into(), module.cold_start_capacity)?;
    check_not_negative("Safety.TipMultiple".into(), module.cold_overload_factor)
}

fn check_share(path: String, found: f64) -> Result<(), Fault> {
    if (0.0..=1.0).contains(&found) {
        return Ok(());
    }
    Err(fault(path, format!("{found}, expected a share from 0 to 1")))
}

fn check_not_negative(path: String, found: f64) -> Result<(), Fault> {
    if found >= 0.0 {
        return Ok(());
    }
    Err(fault(path, format!("{found}, expected 0 or more")))
}
