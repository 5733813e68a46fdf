//! Deliberately broken fronts and planners (mutants), on which the test rig's checker is itself tested: a mutant that
//! it does not catch is a fault of the checker. Without the feature `mutants`, as in every release build, none can be
//! enabled.

#[cfg(feature = "mutants")]
static ENABLED: std::sync::OnceLock<String> = std::sync::OnceLock::new();

/// The names of all mutants.
pub const ALL: [&str; 15] = [
    "lease-unchecked",
    "merge-keeps-last",
    "tail-shown-fine",
    "zone-limit-forgotten",
    "limit-forgotten",
    "relay-called-own",
    "relay-ignored",
    "out-still-serves",
    "attempts-uncounted",
    "silence-called-current",
    "halt-ignored",
    "unplanned-not-counted",
    "delta-on-any-base",
    "change-waits-for-pace",
    "spans-to-nobody",
];

/// Enables a mutant for the rest of the process. Returns false if there is no mutant of this name, or if one is
/// enabled already, or if this build has none.
pub fn enable(name: &str) -> bool {
    #[cfg(feature = "mutants")]
    if ALL.contains(&name) {
        return ENABLED.set(name.to_owned()).is_ok();
    }
    let _ = name;
    false
}

/// Returns whether this mutant is enabled.
#[inline]
pub(crate) fn active(name: &str) -> bool {
    #[cfg(feature = "mutants")]
    return ENABLED.get().is_some_and(|enabled| enabled == name);
    #[cfg(not(feature = "mutants"))]
    {
        let _ = name;
        false
    }
}

/// Returns whether this mutant is enabled, for mutants outside this crate, where messages are sent and received.
pub fn is_active(name: &str) -> bool {
    active(name)
}
