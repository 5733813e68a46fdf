//! What must not happen on a bad day, looked for in what clients and machines saw. No I/O and no clock: records in, lines out.

/// A request, in seconds since the site began: what its client knows, and what a machine knows of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The front that it was sent to.
    pub front: usize,
    /// It went on a connection kept from an earlier one.
    pub kept: bool,
    /// When such a connection ended without an answer, after which it was sent once more.
    pub crossed: Option<f64>,
    /// When its last byte was written; nothing if no connection was taken.
    pub sent: Option<f64>,
    /// When its answer was there, and the status.
    pub answered: Option<(f64, u16)>,
    /// When a machine had it first; nothing if none did.
    pub reached: Option<f64>,
}

impl Request {
    /// Never taken: the front had closed the kept connection that it went on, which a client finds out and goes on another.
    pub fn is_untaken(&self) -> bool {
        self.kept && self.answered.is_none() && self.reached.is_none()
    }

    /// Answered as a machine answers.
    pub fn is_served(&self) -> bool {
        self.answered.is_some_and(|a| a.1 == 200)
    }
}

/// A stretch of time in which a front was down, by what the run did to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Down {
    /// The front.
    pub front: usize,
    /// From when it was told to end.
    pub from: f64,
    /// Until it was ready again.
    pub until: f64,
}

/// Most lines told of one kind; the rest is a number.
const TOLD: usize = 3;

fn told(what: &str, mut all: Vec<String>) -> Vec<String> {
    let more = all.len().saturating_sub(TOLD);
    all.truncate(TOLD);
    if more > 0 {
        all.push(format!("{what}: {more} more"));
    }
    all
}

/// Requests that a machine was asked, so that a front had taken them, and whose client got nothing. One whose connection a
/// front never took, or that no machine saw, was not taken.
pub fn lost(requests: &[Request]) -> Vec<String> {
    let is_lost = |r: &&Request| {
        // What came of a second sending is no excuse for the first.
        let first = r.reached.zip(r.crossed).is_some_and(|(reached, crossed)| reached < crossed);
        first || r.reached.is_some() && r.answered.is_none()
    };
    let line = |r: &Request| {
        format!("lost: {} at f{}, taken at {:.2} s, not answered", r.id, r.front, r.reached.unwrap_or(0.0))
    };
    told("lost", requests.iter().filter(is_lost).map(line).collect())
}

/// Attempts that came to machines out of use: by id, and when. Out of use from `shut` on, with the grace and slack in it.
pub fn at_shut<'a>(
    what: &str,
    attempts: impl IntoIterator<Item = (&'a str, f64)>,
    (shut, until): (f64, f64),
) -> Vec<String> {
    let mut late: Vec<(&str, f64)> = attempts.into_iter().filter(|a| a.1 > shut && a.1 < until).collect();
    late.sort_by(|a, b| a.1.total_cmp(&b.1));
    let line =
        |a: &(&str, f64)| format!("{what}: attempt {} came {:.2} s after it was out of use", a.0, a.1 - shut);
    told(what, late.iter().map(line).collect())
}

/// Fronts that were asked often enough in some whole stretch of `span` seconds and served nothing in it, though they weren't
/// down by what the run did.
pub fn silent(
    requests: &[Request],
    fronts: &[usize],
    (from, until): (f64, f64),
    (span, least): (f64, usize),
    downs: &[Down],
) -> Vec<String> {
    let mut out = Vec::new();
    for front in fronts {
        let mut sent: Vec<(f64, bool)> = requests
            .iter()
            .filter(|r| r.front == *front && !r.is_untaken())
            .filter_map(|r| Some((r.sent?, r.is_served())))
            .filter(|s| (from..until).contains(&s.0))
            .collect();
        sent.sort_by(|a, b| a.0.total_cmp(&b.0));
        // The longest run of requests without one that was served.
        let mut run: Option<(f64, usize)> = None;
        for (at, served) in sent {
            if served {
                run = None;
                continue;
            }
            let (begun, count) = run.map_or((at, 1), |r| (r.0, r.1 + 1));
            run = Some((begun, count));
            let down = downs.iter().any(|d| d.front == *front && d.from < at && begun < d.until);
            if at - begun >= span && count >= least && !down {
                out.push(format!("silent: f{front} served none of {count} requests in {:.1} s", at - begun));
                break;
            }
        }
    }
    told("silent", out)
}

/// How many of the requests sent in this time were served, and how many were sent; those never taken are left out.
pub fn served(requests: &[Request], fronts: &[usize], (from, until): (f64, f64)) -> (usize, usize) {
    let of = |r: &&Request| fronts.contains(&r.front) && r.sent.is_some_and(|s| (from..until).contains(&s));
    let sent: Vec<&Request> = requests.iter().filter(of).filter(|r| !r.is_untaken()).collect();
    (sent.iter().filter(|r| r.is_served()).count(), sent.len())
}

/// How many requests were refused within so many seconds of a front's saying that it is ready again.
pub fn refused_once_ready(requests: &[Request], downs: &[Down], within: f64) -> usize {
    let refused = |r: &&Request| r.answered.is_some_and(|a| a.1 != 200);
    let early = |r: &&Request| {
        let sent = r.sent.unwrap_or(f64::NAN);
        downs.iter().any(|d| d.front == r.front && (d.until..d.until + within).contains(&sent))
    };
    requests.iter().filter(refused).filter(early).count()
}

/// The time within which nine in ten were there, by nearest rank; nothing if more than one in ten never were, or there are none.
pub fn p90(times: &[Option<f64>]) -> Option<f64> {
    let mut all: Vec<f64> = times.iter().map(|t| t.unwrap_or(f64::INFINITY)).collect();
    all.sort_by(f64::total_cmp);
    let rank = (all.len() * 9).div_ceil(10);
    all.get(rank.checked_sub(1)?).copied().filter(|t| t.is_finite())
}

/// What all processes of a role take: bytes a second and cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Bytes a second for control, both ways.
    pub bytes_per_s: f64,
    /// Processor time a second.
    pub cores: f64,
}

/// What counts as the same again: a fifth more or less, and what a short look can't tell apart.
const SHARE: f64 = 0.2;
const BYTES_NOISE: f64 = 500.0;
const CORES_NOISE: f64 = 0.05;

/// Whether each role takes about what it took before.
pub fn steady(before: &[Load], now: &[Load]) -> bool {
    let near = |a: f64, b: f64, noise: f64| (a - b).abs() <= (SHARE * a.abs()).max(noise);
    before.len() == now.len()
        && before.iter().zip(now).all(|(b, n)| {
            near(b.bytes_per_s, n.bytes_per_s, BYTES_NOISE) && near(b.cores, n.cores, CORES_NOISE)
        })
}

/// Whether bytes counted on their way agree with the lengths that the messages themselves state; a message may be under way.
pub fn bytes_agree(counted: u64, stated: u64, messages: u64) -> Result<(), String> {
    let slack = (stated / 50).max(2 * stated / messages.max(1));
    match counted.abs_diff(stated) <= slack {
        true => Ok(()),
        false => Err(format!("bytes: {counted} counted, the messages state {stated}")),
    }
}

/// Least part of the most that any planner got: a front sends each as many. Speed has no part in it, as all share it.
const EVEN: f64 = 0.8;

/// Whether all planners got about as many messages from the same fronts: name and number.
pub fn messages_agree(planners: &[(String, u64)]) -> Result<(), String> {
    let most = planners.iter().map(|p| p.1).max().unwrap_or(0);
    let short = |p: &&(String, u64)| p.1 == 0 || (p.1 as f64) < EVEN * most as f64;
    match planners.iter().find(short) {
        None => Ok(()),
        Some((name, n)) => {
            Err(format!("messages: {n} at {name}, {most} at another planner from the same fronts"))
        }
    }
}
