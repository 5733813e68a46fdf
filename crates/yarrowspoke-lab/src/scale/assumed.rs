//! What figures rest on that no one gave, and how far each can be off before a budget breaks.

use super::at_size::{changes_per_s, find, per_front, BUSY, CHANGES_EACH, HOT};
use super::report::Report;
use super::target;
use yarrowspoke_front::net::list::LIST_LIMIT;

/// Where a budget breaks as an assumption grows, all else as assumed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Breaks {
    /// At this value.
    At(f64),
    /// At none of it: what is fixed is too much by itself.
    Already,
    /// It does not grow with it.
    Never,
    /// A slope that it rests on is not there.
    Unknown,
}

/// One assumption against one budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Assumed {
    /// What is assumed.
    pub what: &'static str,
    /// As it is assumed.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// What it is held against.
    pub against: String,
    /// How far it can go.
    pub breaks_at: Breaks,
}

/// Where `each` of something on top of what is fixed uses a budget up.
fn breaks(budget: f64, fixed: Option<f64>, each: Option<f64>) -> Breaks {
    match (fixed, each) {
        (Some(fixed), Some(_)) if fixed >= budget => Breaks::Already,
        (Some(fixed), Some(each)) if each > 0.0 => Breaks::At((budget - fixed) / each),
        (Some(_), Some(_)) => Breaks::Never,
        _ => Breaks::Unknown,
    }
}

/// A slope's value at a size, as measured there or by its line.
fn at(seen: &Report, role: &str, quantity: &str, size: f64) -> Option<f64> {
    let s = find(seen, role, quantity)?;
    let line = s.fixed + s.per_unit * s.shape.measure(size);
    Some(s.points.iter().find(|p| p.0 == size).map_or(line, |p| p.1))
}

/// All of them.
pub fn all(seen: &Report) -> Vec<Assumed> {
    let (fronts, machines) = (target::FRONTS as f64, target::MACHINES as f64);
    let front = |quantity, size| at(seen, "front", quantity, size);
    let bytes = format!("control, {} bytes a second a front", target::CONTROL_BYTES_PER_S);
    let core = "one core for the decision module".to_owned();

    let over_rate = find(seen, "front", "control: bytes both ways, all planners, 50 fronts");
    let request = front("decision module: a request with its end", machines);
    let timer = front("decision module: its timer", machines).map(|us| 20.0 * us);
    let delta = front("decision module: a delta of one row", machines).map(|us| changes_per_s() * us);
    let rest = timer.zip(delta).map(|(timer, delta)| timer + delta);
    let requests = |what, value| {
        let unit = "requests a second";
        [
            Assumed {
                what,
                value,
                unit,
                against: bytes.clone(),
                breaks_at: breaks(
                    target::CONTROL_BYTES_PER_S,
                    over_rate.map(|s| s.fixed),
                    over_rate.map(|s| s.per_unit),
                ),
            },
            Assumed { what, value, unit, against: core.clone(), breaks_at: breaks(1e6, rest, request) },
        ]
    };
    let steady = front("control: bytes both ways, all planners, heads counted in", fronts);
    let change = front("control: bytes for one change of the list, all planners", machines);
    let list = at(seen, "discovery", "the whole list", machines);
    let mut all = Vec::new();
    all.extend(requests("requests of the mean front: all of them over the fronts", per_front()));
    all.extend(requests("unevenness: requests of a hot front", HOT * per_front()));
    all.push(Assumed {
        what: "changes of the list at the worst moment: the mean of a day, busiest hour, several for each machine",
        value: changes_per_s(),
        unit: "changes a second",
        against: bytes,
        breaks_at: breaks(target::CONTROL_BYTES_PER_S, steady, change),
    });
    all.push(Assumed {
        what: "the same",
        value: changes_per_s(),
        unit: "changes a second",
        against: core,
        breaks_at: breaks(
            1e6,
            request.zip(timer).map(|(request, timer)| per_front() * request + timer),
            front("decision module: a delta of one row", machines),
        ),
    });
    all.push(Assumed {
        what: "busiest hour over the mean of a day",
        value: BUSY,
        unit: "times",
        against: "see the changes above, in proportion".to_owned(),
        breaks_at: Breaks::Never,
    });
    all.push(Assumed {
        what: "changes of the list for each machine that fails, is restarted or replaced",
        value: CHANGES_EACH,
        unit: "changes",
        against: "see the changes above, in proportion".to_owned(),
        breaks_at: Breaks::Never,
    });
    if let Some(list) = list {
        all.push(Assumed {
            what: "bytes of a row of the list",
            value: list / machines,
            unit: "bytes",
            against: format!("the largest list that a front reads, {LIST_LIMIT} bytes"),
            breaks_at: breaks(LIST_LIMIT as f64, Some(0.0), Some(machines)),
        });
    }
    all.push(Assumed {
        what: "services that a front serves: every one, as the program has one list",
        value: target::SERVICES as f64,
        unit: "services",
        against: "no budget rests on it while every front holds the whole list".to_owned(),
        breaks_at: Breaks::Never,
    });
    all
}
