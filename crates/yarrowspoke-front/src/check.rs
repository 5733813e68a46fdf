//! What settings may say: words and figures by which a front would go wrong without a sign are refused, each with
//! its field, what stands there and what was expected.

use serde_json::Value;
use std::collections::BTreeSet;
use yarrowspoke_settings::Settings;

/// A fault in the settings.
#[derive(Debug)]
pub struct Fault {
    /// The field, from the settings' root.
    pub path: String,
    /// What stands there and what was expected.
    pub why: String,
}

fn fault(path: impl Into<String>, why: String) -> Fault {
    Fault { path: path.into(), why }
}

/// Words that the settings choose among; one that is absent or empty is not said.
const WORDS: [(&str, &[&str]); 4] = [
    ("MembershipMode", &["push", "ask"]),
    ("Domain.VoteMode", &["by_count", "first_voice", "automatic"]),
    ("Domain.CountedBy", &["all", "each_class"]),
    ("Domain.Style", &["replace", "parallel"]),
];
/// The same in each class.
const CLASS_WORDS: [(&str, &[&str]); 2] =
    [("Effect", &["repeatable", "by_key", "once"]), ("DedupScope", &["all", "zone", "cell"])];

/// Checks the words. Danger: one that is not known would be taken for another, and what a class allows with it.
pub fn words(settings: &Value) -> Result<(), Fault> {
    for (path, among) in WORDS {
        let found = path.split('.').try_fold(settings, |at, key| at.get(key));
        word(path.to_owned(), found, among)?;
    }
    let classes = settings.get("Classes").and_then(Value::as_array);
    for (n, class) in classes.into_iter().flatten().enumerate() {
        for (key, among) in CLASS_WORDS {
            word(format!("Classes[{n}].{key}"), class.get(key), among)?;
        }
    }
    Ok(())
}

fn word(path: String, found: Option<&Value>, among: &[&str]) -> Result<(), Fault> {
    match found.and_then(Value::as_str) {
        Some(word) if !word.is_empty() && !among.contains(&word) => {
            let among: Vec<_> = among.iter().map(|w| format!("{w:?}")).collect();
            Err(fault(path, format!("{word:?}, expected one of {}", among.join(", "))))
        }
        _ => Ok(()),
    }
}

/// Checks the figures and names.
pub fn figures(settings: &Settings) -> Result<(), Fault> {
    let (module, names) = (&settings.module, &settings.names);
    if module.max_attempts == 0 {
        return Err(fault("Bounds.MaxAttempts", "0, expected 1 or more: no request could be sent".into()));
    }
    let mut seen = BTreeSet::new();
    for (n, (class, name)) in module.classes.iter().zip(&names.classes).enumerate() {
        let at = |key: &str| format!("Classes[{n}].{key}");
        if name.is_empty() || !seen.insert(name) {
            return Err(fault(at("Name"), format!("{name:?}, expected a name that no other class has")));
        }
        for (key, micros) in [("DeadlineUs", class.deadline), ("AimUs", class.latency_target)] {
            if micros == 0 {
                return Err(fault(at(key), "0, expected a time in microseconds".into()));
            }
        }
        least(at("Worth"), class.worth)?;
        share(at("LateWorth"), class.late_worth)?;
    }
    let mut seen = BTreeSet::new();
    for (n, (tenant, name)) in module.tenants.iter().zip(&names.tenants).enumerate() {
        if name.is_empty() || !seen.insert(name) {
            let why = format!("{name:?}, expected a name that no other tenant has");
            return Err(fault(format!("Tenants[{n}].Name"), why));
        }
        least(format!("Tenants[{n}].QuotaRps"), tenant.quota_rps)?;
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
        all.iter().enumerate().try_for_each(|(n, s)| share(format!("Domain.{key}[{n}]"), *s))?;
    }
    share("Domain.FlagShare".into(), module.release.complaint_share)?;
    share("Domain.SampledShare".into(), module.release.tally_sample_share)?;
    least("Domain.SpareTries".into(), module.release.free_attempts)?;
    share("Safety.ColdFrom".into(), module.cold_start_capacity)?;
    least("Safety.TipMultiple".into(), module.cold_overload_factor)
}

fn share(path: String, found: f64) -> Result<(), Fault> {
    if (0.0..=1.0).contains(&found) {
        return Ok(());
    }
    Err(fault(path, format!("{found}, expected a share from 0 to 1")))
}

fn least(path: String, found: f64) -> Result<(), Fault> {
    if found >= 0.0 {
        return Ok(());
    }
    Err(fault(path, format!("{found}, expected 0 or more")))
}
