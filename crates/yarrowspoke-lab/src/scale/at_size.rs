//! Slopes put forward to the size to come, held against the budgets; the worst ratio first.

use super::fit::Fit;
use super::report::{AtSize, Origin, Report, Slope};
use super::target::{self, Budget};
use yarrowspoke_fleet::settings::Fleet;
use yarrowspoke_front::net::list::LIST_LIMIT;

/// The busiest hour has so many times the mean of a day.
pub const BUSY: f64 = 3.0;
/// A machine that is restarted, replaced or fails changes the list so often: it drains, it is gone, it is back.
pub const CHANGES_EACH: f64 = 3.0;
/// A hot front has so many times the requests of the mean one.
pub const HOT: f64 = 4.0;
/// Milliseconds of one core in a second: a front and a planner each run on one thread.
const CORE: f64 = 1e3;
/// Rounds a second of a planner: with each other planner, and of its own housekeeping.
const EXCHANGES_PER_S: f64 = 2.0;
const HOUSEKEEPING_PER_S: f64 = 10.0;

/// What carries the cost of many machines on a front.
const SUBSET: &str = "missing: state for a subset only; requests go to a subset, yet each scans all endpoints (yarrowspoke/src/rules.rs)";

/// What carries control with the form `paced`.
pub(super) const PACED: &str =
    "heartbeats at a pace, snapshot and delta (yarrowspoke-fleet/src/heartbeat_schedule.rs, delta.rs)";

/// Changes of the list a second in the busiest hour.
pub fn changes_per_s() -> f64 {
    BUSY * CHANGES_EACH * (target::FAILED_A_DAY + target::RESTARTED_A_DAY) / 86_400.0
}

/// Requests a second of a front at the peak, the mean one.
pub fn per_front() -> f64 {
    target::REQUESTS_PER_S / target::FRONTS as f64
}

/// One term of a figure: a slope at a size, so many times.
struct Term {
    value: f64,
    text: String,
    measured: bool,
}

fn number(v: f64) -> String {
    match v.abs() {
        0.0 => "0".to_owned(),
        a if a >= 100.0 => format!("{v:.0}"),
        a if a >= 1.0 => format!("{v:.2}"),
        _ => format!("{v:.3e}"),
    }
}

/// The slope of this quantity.
pub fn find<'a>(seen: &'a Report, role: &str, quantity: &str) -> Option<&'a Slope> {
    seen.slopes.iter().find(|s| s.role == role && s.quantity == quantity && !s.points.is_empty())
}

/// How far it was measured, where a size is beyond that.
fn beyond(slope: &Slope, size: f64) -> String {
    let most = slope.points.iter().map(|p| p.0).fold(0.0, f64::max);
    if size > most {
        format!(", measured to {}", number(most))
    } else {
        String::new()
    }
}

fn term(seen: &Report, (role, quantity): (&str, &str), size: f64, times: f64) -> Option<Term> {
    let slope = find(seen, role, quantity)?;
    let (shape, per_unit, fixed, residual) = (slope.shape, slope.per_unit, slope.fixed, slope.residual);
    let fit = Fit { shape, per_unit, fixed, residual };
    let measured = slope.points.iter().find(|p| p.0 == size);
    // Where it was measured at that very size, that is the figure; the line is what says how it came to be so.
    let value = measured.map_or(fit.at(size), |p| p.1);
    let times_text = if times == 1.0 { String::new() } else { format!("{} x ", number(times)) };
    let text = format!(
        "{times_text}({} x {} [{}{}] + {}: {} {})",
        number(per_unit),
        number(fit.shape.measure(size)),
        slope.over,
        beyond(slope, size),
        number(fixed),
        number(value),
        slope.unit
    );
    Some(Term { value: times * value, text, measured: measured.is_some() })
}

/// A figure as the sum of its terms; nothing if one of them was not measured.
fn row(
    seen: &mut Report,
    (role, quantity, unit): (&str, &str, &str),
    terms: Vec<Option<Term>>,
    (scale, budget): (f64, Option<(Budget, f64)>),
    mechanism: &str,
) {
    let Some(terms) = terms.into_iter().collect::<Option<Vec<Term>>>() else {
        seen.not_measured.push(format!("{role}: {quantity}: a slope that it rests on is not there"));
        return;
    };
    let value = scale * terms.iter().map(|t| t.value).sum::<f64>();
    if value < 0.0 {
        // Danger: a line through points that scatter leads below nothing, which would pass for within any budget.
        seen.not_measured.push(format!("{role}: {quantity}: its slopes lead to {} {unit}", number(value)));
        return;
    }
    let texts: Vec<&str> = terms.iter().map(|t| t.text.as_str()).collect();
    let origin = match terms.len() == 1 && terms[0].measured {
        true => Origin::Measured,
        false => Origin::WorkedOut,
    };
    seen.at_size.push(AtSize {
        role: role.to_owned(),
        quantity: quantity.to_owned(),
        unit: unit.to_owned(),
        value,
        budget: budget.map(|b| b.1),
        budget_of: budget.map(|b| b.0),
        within: budget.map(|b| value <= b.1),
        mechanism: mechanism.to_owned(),
        origin,
        formula: format!("{} = {} {unit}", texts.join(" + "), number(value)),
    });
}

/// Need over budget; nothing where there is no budget.
pub fn ratio(row: &AtSize) -> Option<f64> {
    row.budget.filter(|b| *b > 0.0).map(|b| row.value / b)
}

/// What is missed first, the operators' budgets before the program's own bounds and the worst ratio first; what has no
/// budget last, in the order in which it came.
pub fn rank(rows: &mut [AtSize]) {
    let class = |row: &AtSize| match (row.within, row.budget_of) {
        (None, _) => 4,
        (Some(within), of) => 2 * i32::from(within) + i32::from(of == Some(Budget::Program)),
    };
    let worse = |a: &AtSize, b: &AtSize| ratio(b).unwrap_or(0.0).total_cmp(&ratio(a).unwrap_or(0.0));
    rows.sort_by(|a, b| class(a).cmp(&class(b)).then_with(|| worse(a, b)));
}

/// Works the figures out that rest on the pure cores' slopes.
pub fn work_out(seen: &mut Report) {
    front(seen);
    planner(seen);
    set_aside(seen);
    machines(seen);
    rank(&mut seen.at_size);
}

fn front(seen: &mut Report) {
    let (machines, fronts) = (target::MACHINES as f64, target::FRONTS as f64);
    let (change, renewals) = (changes_per_s(), 1e6 / Fleet::default().renew as f64);
    let of = |quantity| ("front", quantity);
    let steady = "control: bytes both ways, all planners, heads counted in";
    let a_change = "control: bytes for one change of the list, all planners";
    let polling = match seen.paced {
        true => PACED,
        false => "lease renewal by heartbeat, whole list on change (yarrowspoke-fleet/src/front.rs)",
    };
    for (name, times) in [
        ("ordinary, no change of the list", 0.0),
        ("busiest hour", 1.0),
        ("ten times the busiest hour", 10.0),
    ] {
        let quantity = format!("control, bytes both ways with all planners, {name}");
        let mut terms = vec![term(seen, of(steady), fronts, 1.0)];
        if times > 0.0 {
            terms.push(term(seen, of(a_change), machines, times * change));
        }
        row(
            seen,
            ("front", &quantity, "bytes a second"),
            terms,
            (1.0, Some((Budget::ControlBytes, target::CONTROL_BYTES_PER_S))),
            polling,
        );
    }
    let rates = "control: bytes both ways, all planners, 50 fronts";
    let terms = vec![term(seen, of(rates), HOT * 210.0, 1.0)];
    row(
        seen,
        ("front", "control, bytes of a hot front, no change of the list", "bytes a second"),
        terms,
        (1.0, Some((Budget::ControlBytes, target::CONTROL_BYTES_PER_S))),
        polling,
    );

    let core = Some((Budget::ControlCore, CORE * target::CONTROL_CORE));
    let shown = "member: looking through all rows at each renewal";
    let terms = vec![
        term(seen, of("control: spans, heartbeats and answers"), fronts, 1.0),
        term(seen, of(shown), machines, renewals / 1e3),
        term(seen, of("member: a delta of one row"), machines, change / 1e3),
        term(seen, of("control: heartbeats and answers for one change of the list"), machines, change),
    ];
    row(
        seen,
        ("front", "control, processor time, busiest hour, no sockets", "ms a second"),
        terms,
        (1.0, core),
        polling,
    );
    let terms = vec![term(seen, of("member: resident memory of its list"), machines, 1.0)];
    row(
        seen,
        ("front", "control, resident memory of the list", "MB"),
        terms,
        (1.0, Some((Budget::FrontMemory, target::FRONT_MB))),
        "endpoint snapshot held whole (yarrowspoke-front/src/fleet_member.rs)",
    );

    let (request, timer) = ("decision module: a request with its end", "decision module: its timer");
    for (name, rate) in [("mean front", per_front()), ("hot front", HOT * per_front())] {
        let terms = vec![
            term(seen, of(request), machines, rate / 1e3),
            term(seen, of(timer), machines, 20.0 / 1e3),
            term(seen, of("decision module: a delta of one row"), machines, change / 1e3),
        ];
        let quantity = format!("decision module, processor time, {name}");
        row(seen, ("front", &quantity, "ms a second"), terms, (1.0, Some((Budget::Program, CORE))), SUBSET);
    }
    let terms = vec![term(seen, of(request), machines, 1.0)];
    row(
        seen,
        ("front", "decision module, a request with its end", "us"),
        terms,
        (1.0, Some((Budget::Added, 1e3 * target::ADDED_MS))),
        SUBSET,
    );
    let terms =
        vec![term(seen, of("decision module: resident memory, allocator's slack in it"), machines, 1.0)];
    row(
        seen,
        ("front", "decision module, resident memory", "MB"),
        terms,
        (1.0, None),
        "endpoint snapshot held whole (yarrowspoke/src/accounting.rs)",
    );
    let terms = vec![term(
        seen,
        of("decision module: a request with its end, 600 machines"),
        target::TENANTS as f64,
        1.0,
    )];
    row(
        seen,
        ("front", "decision module, a request among all tenants, 600 machines", "us"),
        terms,
        (1.0, None),
        "token bucket a tenant (yarrowspoke/src/accounting.rs)",
    );
    let terms =
        vec![term(seen, of("decision module: resident memory, 600 machines"), target::TENANTS as f64, 1.0)];
    row(
        seen,
        ("front", "decision module, resident memory with all tenants, 600 machines", "MB"),
        terms,
        (1.0, None),
        "token bucket a tenant (yarrowspoke/src/accounting.rs)",
    );

    let terms = vec![term(seen, ("discovery", "the whole list"), machines, 1.0)];
    row(seen, ("front", "whole list that has to be read before it is ready", "bytes"), terms, (1.0, Some((Budget::Program, LIST_LIMIT as f64))), "snapshot in one body of at most LIST_LIMIT, then deltas by watch (yarrowspoke-front/src/net/list.rs)");
    let terms = vec![term(seen, of("decoding the whole list"), machines, 1.0)];
    row(
        seen,
        ("front", "decoding the whole list", "ms"),
        terms,
        (1.0, None),
        "rows kept as text and decoded one by one (yarrowspoke-front/src/net/list.rs)",
    );
    let terms = vec![term(seen, of("peak of memory in decoding the whole list"), machines, 1.0)];
    row(
        seen,
        ("front", "peak of memory in decoding the whole list", "MB"),
        terms,
        (1.0, None),
        "rows kept as text and decoded one by one (yarrowspoke-front/src/net/list.rs)",
    );
    let terms = vec![term(seen, ("discovery", "the whole list"), machines, fronts)];
    row(
        seen,
        ("discovery", "all fronts back at once", "MB"),
        terms,
        (1e-6, None),
        "missing: snapshot from a peer or planner; every front reads the whole list (yarrowspoke-front/src/net/list.rs)",
    );

    let routes = target::ROUTES as f64;
    for (name, quantity, unit) in [
        ("rules, a request among all routes", "rules: a request", "us"),
        ("rules, loading a set of all routes", "rules: loading a set", "ms"),
        ("rules, resident memory of a set of all routes", "rules: resident memory of a set", "MB"),
    ] {
        let terms = vec![term(seen, of(quantity), routes, 1.0)];
        row(
            seen,
            ("front", name, unit),
            terms,
            (1.0, None),
            "inverted index by constants (yarrowspoke-expr/src/index.rs)",
        );
    }
}

fn planner(seen: &mut Report) {
    let (machines, fronts) = (target::MACHINES as f64, target::FRONTS as f64);
    let settings = Fleet::default();
    // At a pace fewer come than renewals: as many as were seen.
    let each = Some("control: heartbeats to one planner").filter(|_| seen.paced);
    let each = each.and_then(|q| term(seen, ("front", q), fronts, 1.0));
    let each = each.map_or(1e6 / settings.renew as f64, |t| t.value);
    let (asks, others) = (fronts * each, target::PLANNERS as f64 - 1.0);
    let of = |quantity| ("planner", quantity);
    let record = "its record as it counts it, 20 machines a span";
    let mb = settings.keep_bytes as f64 / 1_048_576.0;
    let spans =
        find(seen, "planner", record).map_or(0.0, |s| (mb - s.fixed) / s.per_unit.max(f64::MIN_POSITIVE));
    let busy = |record_too: bool, seen: &Report| {
        let mut terms = vec![
            term(seen, of("a heartbeat with its answer, a short record"), fronts, asks / 1e3),
            term(
                seen,
                of("looking for steps that have changed, ten times a second"),
                fronts,
                HOUSEKEEPING_PER_S / 1e3,
            ),
            term(
                seen,
                of("one exchange with another planner, both sides, a short record"),
                fronts,
                EXCHANGES_PER_S * others / 1e3,
            ),
            term(
                seen,
                of("one change of the list, for each front, all planners"),
                machines,
                changes_per_s() * fronts / target::PLANNERS as f64,
            ),
        ];
        if record_too {
            // What a long record adds to each ask, and to each exchange on both sides.
            terms.push(more(seen, "a heartbeat with its answer, 10 fronts", spans / fronts, asks / 1e3));
            terms.push(more(
                seen,
                "saying what it has, to another planner",
                spans,
                2.0 * EXCHANGES_PER_S * others / 1e3,
            ));
        }
        terms
    };
    let carried = "single-threaded event loop; heartbeat of every front to every planner (yarrowspoke-fleet/src/planner.rs)";
    for (name, long) in [("a young record", false), ("a full record", true)] {
        let (quantity, terms) =
            (format!("processor time, busiest hour, {name}, no sockets"), busy(long, seen));
        row(
            seen,
            ("planner", &quantity, "ms a second"),
            terms,
            (1.0, Some((Budget::Program, CORE))),
            carried,
        );
    }
    let terms = vec![term(seen, of("its record, as it counts it"), fronts, 1_440.0 / 1_048_576.0)];
    row(
        seen,
        ("planner", "a day's record", "MB"),
        terms,
        (1.0, Some((Budget::Program, mb))),
        "retention by size, oldest evicted first (yarrowspoke-fleet/src/report_log.rs); missing: compaction",
    );
    let terms = vec![term(seen, of("its record, resident, 20 machines a span"), spans, 1.0)];
    row(
        seen,
        ("planner", "a full record, resident", "MB"),
        terms,
        (1.0, None),
        "retention by size (yarrowspoke-fleet/src/report_log.rs)",
    );
    // Two years in which each front is taken out once a day.
    let orders = 730.0 * fronts;
    let terms = vec![term(seen, of("agreed log on disk, an order taken and done"), orders, 1.0)];
    row(
        seen,
        ("planner", "agreed log on disk after two years, each front out once a day", "MB"),
        terms,
        (1e-6, None),
        "missing: log compaction by snapshot (yarrowspoke-front/src/agreed_log.rs)",
    );
    let terms = vec![term(seen, of("agreed log in memory"), orders, 1.0)];
    row(
        seen,
        ("planner", "agreed log in memory after two years", "MB"),
        terms,
        (1.0, None),
        "missing: log compaction by snapshot (yarrowspoke-front/src/agreed_log.rs)",
    );
}

/// The machines set aside for control carry one planner each.
fn set_aside(seen: &mut Report) {
    let (fronts, planners) = (target::FRONTS as f64, target::PLANNERS as f64);
    let (needed, aside) = (target::PLANNERS, target::SET_ASIDE as f64);
    seen.at_size.push(AtSize {
        role: "set aside".to_owned(),
        quantity: "machines, one planner on each".to_owned(),
        unit: "machines".to_owned(),
        value: planners,
        budget: Some(aside),
        budget_of: Some(Budget::SetAside),
        within: Some(planners <= aside),
        mechanism: "replicated planners, majority quorum (yarrowspoke-fleet/src/planner.rs)".to_owned(),
        origin: Origin::WorkedOut,
        formula: format!("1 machine x {needed} planners, {} of which may be lost", (needed - 1) / 2),
    });
    let terms = vec![
        term(
            seen,
            ("front", "control: bytes both ways, all planners, heads counted in"),
            fronts,
            fronts / planners,
        ),
        term(
            seen,
            ("front", "control: bytes for one change of the list, all planners"),
            target::MACHINES as f64,
            changes_per_s() * fronts / planners,
        ),
        term(
            seen,
            ("planner", "one exchange with another planner"),
            fronts,
            2.0 * EXCHANGES_PER_S * (planners - 1.0),
        ),
    ];
    row(
        seen,
        ("set aside", "network of one of them, both ways, busiest hour", "MB a second"),
        terms,
        (1e-6, None),
        "lease renewal by heartbeat; anti-entropy among planners (yarrowspoke-fleet/src/planner.rs)",
    );
}

/// A machine is asked by those fronts that send to it.
fn machines(seen: &mut Report) {
    let (machines, fronts) = (target::MACHINES as f64, target::FRONTS as f64);
    let terms = vec![term(seen, ("front", "machines that one front sends to"), machines, fronts / machines)];
    row(
        seen,
        ("machines", "fronts that send to one, the mean", "fronts"),
        terms,
        (1.0, None),
        "deterministic subsetting, a stretch of machines for each front and build (yarrowspoke/src/rules.rs)",
    );
}

/// What only the whole run shows: readiness and changes in force, over all incidents.
pub fn of_run(seen: &mut Report) {
    let seconds = [
        (
            "front",
            "restarted real processes ready, 9 in 10",
            seen.ready_s_p90,
            (Budget::Ready, target::READY_S),
            "endpoint snapshot from discovery before the first request (yarrowspoke-front/src/net/list.rs)",
        ),
        (
            "discovery",
            "a change of the list in force at the last front, all incidents",
            seen.change_in_force_s_max,
            (Budget::InForce, target::IN_FORCE_S),
            "watch with deltas (yarrowspoke-front/src/net/list.rs)",
        ),
    ];
    for (role, quantity, value, (of, budget), mechanism) in seconds {
        let Some(value) = value else { continue };
        let fronts = seen.real_fronts + seen.hollow_fronts;
        seen.at_size.push(AtSize {
            role: role.to_owned(),
            quantity: quantity.to_owned(),
            unit: "s".to_owned(),
            value,
            budget: Some(budget),
            budget_of: Some(of),
            within: Some(value <= budget),
            mechanism: mechanism.to_owned(),
            origin: Origin::Measured,
            formula: format!(
                "the longest seen with at most {fronts} fronts before {} machines",
                seen.machines
            ),
        });
    }
}

/// What a size adds over its slope's fixed part.
fn more(seen: &Report, quantity: &str, size: f64, times: f64) -> Option<Term> {
    let slope = find(seen, "planner", quantity)?;
    let (shape, per_unit) = (slope.shape, slope.per_unit);
    let added = per_unit * shape.measure(size);
    let text = format!(
        "{} x ({} x {} [{}{}]: {} {})",
        number(times),
        number(per_unit),
        number(shape.measure(size)),
        slope.over,
        beyond(slope, size),
        number(added),
        slope.unit
    );
    Some(Term { value: times * added, text, measured: false })
}
