//! The size to come, and what there is for it, as the operators told it (docs/CAPACITY.md).

use serde::{Deserialize, Serialize};

/// Fronts.
pub const FRONTS: usize = 620;
/// Machines.
pub const MACHINES: usize = 9_700;
/// Services.
pub const SERVICES: usize = 260;
/// Requests a second at the peak, over all fronts.
pub const REQUESTS_PER_S: f64 = 130_000.0;
/// Routes.
pub const ROUTES: usize = 14_000;
/// Tenants.
pub const TENANTS: usize = 50_000;
/// Regions.
pub const REGIONS: usize = 3;
/// Zones.
pub const ZONES: usize = 8;
/// Planners that the fleet of that size is reckoned with: three bear one loss, five two.
pub const PLANNERS: usize = 5;
/// Changes of configuration a day.
pub const CHANGES_A_DAY: f64 = 810.0;
/// Machines that fail on an ordinary day, and those restarted or replaced.
pub const FAILED_A_DAY: f64 = 59.0;
/// Restarted or replaced.
pub const RESTARTED_A_DAY: f64 = 730.0;

/// Added to a request for 99 in 100, milliseconds.
pub const ADDED_MS: f64 = 3.5;
/// Within which a change is in force everywhere, seconds.
pub const IN_FORCE_S: f64 = 15.0;
/// Share of a core that a front spends for control.
pub const CONTROL_CORE: f64 = 0.046;
/// Resident memory of a front, MB.
pub const FRONT_MB: f64 = 32.0;
/// Bytes a second that a front spends for control, both ways and with all planners together.
pub const CONTROL_BYTES_PER_S: f64 = 2_048.0;
/// Machines set aside for control.
pub const SET_ASIDE: usize = 5;
/// Nine in ten restarted processes are ready within so many seconds.
pub const READY_S: f64 = 10.0;

/// Processes that a run may have at once.
pub const PROCESS_LIMIT: usize = 300;
/// Resident memory that a run may have in all, MB.
pub const MEMORY_LIMIT_MB: f64 = 12_000.0;

/// What a figure is held against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// Milliseconds added to a request for 99 in 100.
    Added,
    /// A change of configuration is in force everywhere.
    InForce,
    /// A front's share of a core for control.
    ControlCore,
    /// A front's memory.
    FrontMemory,
    /// A front's bytes a second for control.
    ControlBytes,
    /// Machines set aside for control.
    SetAside,
    /// Nine in ten restarted processes are ready.
    Ready,
    /// A bound that the program keeps itself, or one core for what runs on one thread: nobody's budget, yet it stops there.
    Program,
}

impl Budget {
    /// Those that the operators gave.
    pub const OPERATORS: [Self; 7] = [
        Self::Added,
        Self::InForce,
        Self::ControlCore,
        Self::FrontMemory,
        Self::ControlBytes,
        Self::SetAside,
        Self::Ready,
    ];

    /// As the operators told it.
    pub fn label(self) -> String {
        match self {
            Self::Added => format!("{ADDED_MS} ms added to a request, 99 in 100"),
            Self::InForce => format!("a change in force everywhere within {IN_FORCE_S} s"),
            Self::ControlCore => format!("control, {:.1} % of a core a front", 100.0 * CONTROL_CORE),
            Self::FrontMemory => format!("control, {FRONT_MB} MB a front"),
            Self::ControlBytes => format!("control, {CONTROL_BYTES_PER_S} bytes a second a front"),
            Self::SetAside => format!("{SET_ASIDE} machines set aside"),
            Self::Ready => format!("ready within {READY_S} s, 9 in 10 restarted"),
            Self::Program => "the program's own bound".to_owned(),
        }
    }
}
