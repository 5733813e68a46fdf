//! Deliberately broken fronts and planners. The rig's checker is itself tried on them: one that it lets pass is a fault of
//! the checker. Without the feature `mutants`, as in every release build, none of them can be put on.

#[cfg(feature = "mutants")]
static ON: std::sync::OnceLock<String> = std::sync::OnceLock::new();

/// Every mutant by name.
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

/// Puts one on for the rest of the process; false if there is none of this name, or this build has none.
pub fn enable(name: &str) -> bool {
    #[cfg(feature = "mutants")]
    if ALL.contains(&name) {
        return ON.set(name.to_owned()).is_ok();
    }
    let _ = name;
    false
}

/// Whether this one is on.
#[inline]
pub(crate) fn active(name: &str) -> bool {
    #[cfg(feature = "mutants")]
    return ON.get().is_some_and(|on| on == name);
    #[cfg(not(feature = "mutants"))]
    {
        let _ = name;
        false
    }
}

/// Whether this one is on; for the few that sit where messages are carried out.
pub fn is_active(name: &str) -> bool {
    active(name)
}
