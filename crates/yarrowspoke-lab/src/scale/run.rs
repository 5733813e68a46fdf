//! What a scale run is asked for.

use std::path::PathBuf;

/// Sizes that are played.
#[derive(Clone, Debug, PartialEq)]
pub struct Sizes {
    /// Fronts.
    pub fronts: Vec<usize>,
    /// Machines.
    pub machines: Vec<usize>,
    /// Services.
    pub services: Vec<usize>,
    /// Routes.
    pub routes: Vec<usize>,
    /// Tenants.
    pub tenants: Vec<usize>,
    /// Requests a second a front.
    pub rates: Vec<f64>,
}

/// A scale run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The built program.
    pub program: PathBuf,
    /// This one, for hollow fronts and probes in processes of their own.
    pub lab: PathBuf,
    /// Where its files go; gone afterwards.
    pub dir: PathBuf,
    /// Draws everything.
    pub seed: u64,
    /// The short run.
    pub quick: bool,
    /// The smallest run, that of CI.
    pub small: bool,
    /// With the form `paced` in the fleet's section.
    pub paced: bool,
    /// What is played.
    pub sizes: Sizes,
    /// The first port that is listened on; the system's choice if none.
    pub port: Option<u16>,
}

impl Options {
    /// Fields of the fleet's section. A lease of 2 s, the default, is refused beside a pace of 1 s.
    pub fn fleet(&self) -> &'static str {
        match self.paced {
            true => "(lease 3.5) (paced (pace 1.0) (lists delta) (spans home))",
            false => "",
        }
    }
}
