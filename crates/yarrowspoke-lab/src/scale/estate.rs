//! What a drawn installation consists of: services of uneven size, their machines in zones of regions, routes and tenants.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Zones, by the region that each lies in.
pub const ZONES: [(&str, usize); 8] =
    [("r1-a", 0), ("r1-b", 0), ("r1-c", 0), ("r2-a", 1), ("r2-b", 1), ("r2-c", 1), ("r3-a", 2), ("r3-b", 2)];
/// Regions.
pub const REGIONS: usize = 3;
/// How uneven services and tenants are: the share of the n-th falls with this power of n.
const UNEVEN: f64 = 0.9;
/// The build that all machines run at first.
pub const BUILD: u16 = 41;

/// How much is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// Machines.
    pub machines: usize,
    /// Services; no more than there are machines are drawn.
    pub services: usize,
    /// Routes.
    pub routes: usize,
    /// Tenants.
    pub tenants: usize,
}

/// A machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name, which carries its service's.
    pub name: String,
    /// The number of its service.
    pub service: usize,
    /// The number of its zone.
    pub zone: usize,
}

/// A route: what begins so goes to that service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// How the path begins.
    pub prefix: String,
    /// The service's number.
    pub service: usize,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of all requests.
    pub share: f64,
}

/// All of it. The same seed and extent draw the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Estate {
    /// Services, as their machines' number, largest first.
    pub services: Vec<usize>,
    /// Machines, service by service.
    pub machines: Vec<Machine>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Tenants, largest first.
    pub tenants: Vec<Tenant>,
}

/// Shares that fall with the rank and add up to 1.
fn shares(count: usize) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count).map(|n| (n as f64).powf(-UNEVEN)).collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|w| w / sum).collect()
}

/// So many, one each at least, by falling shares.
fn parted(all: usize, parts: usize) -> Vec<usize> {
    let spare = all - parts;
    let mut sizes: Vec<usize> =
        shares(parts).iter().map(|s| 1 + (s * spare as f64).floor() as usize).collect();
    let left = all - sizes.iter().sum::<usize>();
    (0..left).for_each(|n| sizes[n % parts] += 1);
    sizes
}

impl Estate {
    /// Draws one.
    pub fn draw(seed: u64, extent: Extent) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed ^ 0x00e5_7a7e);
        let services = match extent.services.min(extent.machines) {
            0 => Vec::new(),
            parts => parted(extent.machines, parts),
        };
        let mut machines = Vec::with_capacity(extent.machines);
        for (service, size) in services.iter().enumerate() {
            // A service of two machines or more stands in as many zones as it can.
            let first = draws.gen_range(0..ZONES.len());
            machines.extend((0..*size).map(|m| Machine {
                name: format!("svc{service:03}-m{m}"),
                service,
                zone: (first + m) % ZONES.len(),
            }));
        }
        let of = |draws: &mut Pcg64Mcg| draws.gen_range(0..services.len().max(1));
        let route = |n| Route { prefix: format!("/v{}/res{n:05}/", n % 3), service: of(&mut draws) };
        let routes = (0..extent.routes).map(route).collect();
        let tenant = |(n, share)| Tenant { name: format!("t{n:05}"), share };
        let tenants = shares(extent.tenants).into_iter().enumerate().map(tenant).collect();
        Self { services, machines, routes, tenants }
    }
}
