//! `yarrowspoke fleet`: what a planner, or its directory, knows of a fleet.

use crate::cli::{AskedOf, OrderAt, RecordAt, Told};
use crate::net::fleet::exchange;
use crate::net::within;
use crate::planner;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke_fleet::audit::{audit as draw, Audit, AuditQuery};
use yarrowspoke_fleet::version::Version;

/// How long a planner may take to answer an operator.
const PATIENCE: Duration = Duration::from_secs(10);

fn told(done: Result<String, String>) -> Told {
    match done {
        Ok(text) => Told { text, right: true },
        Err(text) => Told { text: format!("{text}\n"), right: false },
    }
}

fn get(at: SocketAddr, target: &str) -> Result<Vec<u8>, String> {
    let (mut line, named) = (None, |e: &dyn ToString| format!("{at}: {}", e.to_string()));
    let asked = within(PATIENCE, exchange(&mut line, at, ("GET", target), b""));
    match async_io::block_on(asked) {
        Some(Ok(body)) => Ok(body),
        Some(Err(e)) => Err(named(&e)),
        None => Err(named(&"no answer in time")),
    }
}

fn versions(v: &serde_json::Value) -> String {
    let list = &v["list"];
    let news = &v["news"];
    let phase = ["trial", "released", "going back", "withdrawn"];
    let phase = phase.get(news["phase"].as_u64().unwrap_or(9) as usize).copied().unwrap_or("-");
    let cap = news["cap"].as_f64().unwrap_or(0.0) / 1e4;
    format!("list {:>6}  build {} {phase} {cap:.1} %", list["index"].to_string(), news["build"])
}

/// What one planner knows now.
pub fn status(at: SocketAddr, json: bool) -> Told {
    let asked = || {
        let body = get(at, "/fleet/status")?;
        if json {
            return Ok(String::from_utf8_lossy(&body).into_owned() + "\n");
        }
        let status: serde_json::Value = serde_json::from_slice(&body).map_err(|e| format!("{at}: {e}"))?;
        let mut text = format!(
            "planner {}, at most {} fronts out; other planners heard, ms ago: {}\n",
            status["planner"].as_str().unwrap_or(""),
            status["most_out"],
            status["planners_ms_ago"]
        );
        for f in status["fronts"].as_array().into_iter().flatten() {
            let heard = f["heard_ms_ago"].as_u64().map_or("never heard".into(), |ms| format!("{ms} ms ago"));
            let behind = f["behind_ms"].as_u64().map_or(String::new(), |ms| format!(", behind for {ms} ms"));
            let out = f["out"].as_str().map_or(String::new(), |o| format!(", to be out: {o}"));
            let missing = f["missing"].as_u64().filter(|n| *n > 0);
            let missing = missing.map_or(String::new(), |n| format!(", {n} spans not here"));
            let twin = if f["twin"] == true { ", TWO PROCESSES UNDER THIS NAME" } else { "" };
            let on = if f["version"].is_null() { "unknown".into() } else { versions(&f["version"]) };
            let _ = writeln!(
                text,
                "{:<12} {:<8} {:<12} {on}, heard {heard}{behind}{out}{missing}{twin}",
                f["name"].as_str().unwrap_or(""),
                f["zone"].as_str().unwrap_or(""),
                f["step"].as_str().unwrap_or(""),
            );
        }
        for c in status["contradictions"].as_array().into_iter().flatten() {
            let _ = writeln!(text, "contradiction: {c}");
        }
        for (why, n) in status["refused"].as_object().into_iter().flatten() {
            let _ = writeln!(text, "refused {n} times: {why}");
        }
        Ok(text)
    };
    told(asked())
}

fn micros(seconds: Option<f64>) -> Result<Option<u64>, String> {
    match seconds {
        None => Ok(None),
        Some(s) if s.is_finite() && s >= 0.0 => Ok(Some((s * 1e6) as u64)),
        Some(s) => Err(format!("found {s}, expected Unix time in seconds")),
    }
}

fn record(from: &RecordAt, of: &AskedOf) -> Result<Audit, String> {
    let asked =
        AuditQuery { front: of.front.clone(), index: of.version, from: micros(of.from)?, to: micros(of.to)? };
    if let Some(dir) = &from.dir {
        let (book, spoilt) = planner::read_book(dir)?;
        if !spoilt.is_empty() {
            return Err(spoilt.join("\n"));
        }
        return Ok(draw(&book, &asked));
    }
    let at = from.at.ok_or("an address or a directory is needed")?;
    let part = |name: &str, value: Option<String>| value.map_or(String::new(), |v| format!("{name}={v}&"));
    let number = |n: Option<u64>| n.map(|n| n.to_string());
    let query = part("front", asked.front)
        + &part("index", number(asked.index))
        + &part("from", number(asked.from))
        + &part("to", number(asked.to));
    let body = get(at, &format!("/fleet/audit?{query}"))?;
    serde_json::from_slice(&body).map_err(|e| format!("{at}: {e}"))
}

fn acted_on(v: &Version) -> String {
    versions(&serde_json::to_value(v).unwrap_or_default())
}

/// Which front acted on which version when: a line for each stretch on one version.
pub fn audit(from: &RecordAt, of: &AskedOf, json: bool) -> Told {
    let drawn = || {
        let audit = record(from, of)?;
        if json {
            return serde_json::to_string(&audit).map(|t| t + "\n").map_err(|e| e.to_string());
        }
        let mut text = String::new();
        for one in &audit.incarnations {
            let _ = writeln!(text, "{} incarnation {}", one.front, one.incarnation);
            let mut at = 0;
            while let Some(first) = one.rows.get(at) {
                let same = |r: &&yarrowspoke_fleet::audit::Row| {
                    (r.span.version, r.span.stance) == (first.span.version, first.span.stance)
                        && r.span.last_version == first.span.last_version
                };
                let run: Vec<_> = one.rows[at..].iter().take_while(same).collect();
                at += run.len();
                let last = run.last().map_or(first, |r| r);
                let attempts: u32 = run.iter().flat_map(|r| &r.span.attempts).map(|a| a.2).sum();
                let machines: BTreeSet<u32> =
                    run.iter().flat_map(|r| &r.span.attempts).map(|a| a.0).collect();
                let votes: u32 = run.iter().map(|r| r.span.votes).sum();
                let joined = run.iter().any(|r| r.numbers.0 < r.numbers.1);
                let _ = writeln!(
                    text,
                    "  {:>10.3} to {:>10.3} s  {}  {:?}  {attempts} attempts at {} machines, {votes} votes{}",
                    first.span.from as f64 / 1e6,
                    last.span.to as f64 / 1e6,
                    acted_on(&first.span.version),
                    first.span.stance,
                    machines.len(),
                    if joined { "  (joined: no planner could be reached)" } else { "" },
                );
            }
            for u in &one.unknown {
                let _ = writeln!(
                    text,
                    "  UNKNOWN from {:.3} s on{}: {}",
                    u.from as f64 / 1e6,
                    u.until_wall
                        .map_or(", to now".into(), |w| format!(", to Unix time {:.3}", w as f64 / 1e6)),
                    u.why
                );
            }
        }
        for c in &audit.contradictions {
            let _ = writeln!(
                text,
                "CONTRADICTION {} incarnation {} span {}: {}",
                c.front, c.incarnation, c.number, c.what
            );
        }
        Ok(text)
    };
    told(drawn())
}

/// How long an order may take to be agreed on, and when it is given again.
const ORDER_WITHIN: Duration = Duration::from_secs(15);
const ORDER_AGAIN: Duration = Duration::from_millis(1_000);

fn post(at: SocketAddr, body: &[u8]) -> Result<(), String> {
    let mut line = None;
    let asked = within(PATIENCE, exchange(&mut line, at, ("POST", "/fleet/order"), body));
    match async_io::block_on(asked) {
        Some(Ok(_)) => Ok(()),
        Some(Err(e)) => Err(format!("{at}: {e}")),
        None => Err(format!("{at}: no answer in time")),
    }
}

fn agreed(at: SocketAddr) -> Result<serde_json::Value, String> {
    serde_json::from_slice(&get(at, "/fleet/agreed")?).map_err(|e| format!("{at}: {e}"))
}

fn ordered(to: &OrderAt, fields: &[(&str, &str)], number: u64) -> Result<String, String> {
    let ticket = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let mut body = serde_json::json!({"by": to.by, "knows": to.knows, "ticket": ticket, "number": number});
    for (name, value) in fields {
        body[*name] = (*value).into();
    }
    let bytes = body.to_string().into_bytes();
    let (begun, mut given) = (Instant::now(), None::<Instant>);
    while begun.elapsed() < ORDER_WITHIN {
        // Given again under its ticket, it is one deed.
        if given.is_none_or(|at| at.elapsed() > ORDER_AGAIN) {
            post(to.at, &bytes)?;
            given = Some(Instant::now());
        }
        let state = agreed(to.at)?;
        let outcomes = state["state"]["outcomes"].as_array().cloned().unwrap_or_default();
        if let Some(outcome) = outcomes.iter().find(|o| o[0] == ticket) {
            return match &outcome[1] {
                serde_json::Value::Null => Ok(format!("agreed: {}\n", outcome[2].as_str().unwrap_or(""))),
                why => Err(format!("refused: {why}")),
            };
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("{}: not agreed on within {ORDER_WITHIN:?}, and it may still be: look at the permits", to.at))
}

/// Gives an order and waits until it is agreed on; exit status 1 if it is refused or nobody can tell.
pub fn order(to: &OrderAt, fields: &[(&str, &str)]) -> Told {
    told(ordered(to, fields, 0))
}

/// Takes a permit away by its number.
pub fn free(to: &OrderAt, front: &str, number: u64) -> Told {
    told(ordered(to, &[("what", "free"), ("front", front)], number))
}

/// Who may be out, who waits, who is lost.
pub fn permits(at: SocketAddr, json: bool) -> Told {
    let shown = || {
        let agreed = agreed(at)?;
        if json {
            return Ok(format!("{agreed}\n"));
        }
        let state = &agreed["state"];
        let mut text = format!("orders followed {}, leader {}\n", state["orders"], agreed["leader"]);
        if let Some(halt) = state["halted"].as_array() {
            let _ = writeln!(text, "HALTED by {}: {}", halt[1], halt[0]);
        }
        for (front, p) in state["permits"].as_object().into_iter().flatten() {
            let _ = writeln!(
                text,
                "{front} may be out: permit {}, {}, for {}",
                p["number"], p["phase"], p["cause"]
            );
        }
        for w in state["waits"].as_array().into_iter().flatten() {
            let _ = writeln!(text, "{} waits, for {}", w[0], w[2]);
        }
        let _ = writeln!(text, "not heard, by planner: {}", state["views"]);
        Ok(text)
    };
    told(shown())
}

/// Checks chains, gaps and contradictions of a directory.
pub fn verify(dir: &Path) -> Told {
    let verified = || {
        let (book, spoilt) = planner::read_book(dir)?;
        let mut text = String::new();
        for (front, incarnation) in book.incarnations() {
            let (view, gaps) = (book.view(front, incarnation), book.gaps(front, incarnation));
            let _ =
                writeln!(text, "{front} incarnation {incarnation}: {} reports, gaps {gaps:?}", view.len());
        }
        let wrong: Vec<String> = book
            .contradictions()
            .into_iter()
            .map(|c| format!("{} incarnation {} span {}: {}", c.front, c.incarnation, c.number, c.what))
            .chain(spoilt)
            .collect();
        if wrong.is_empty() {
            Ok(format!("{}: right\n{text}", dir.display()))
        } else {
            Err(format!("{text}{}", wrong.join("\n")))
        }
    };
    told(verified())
}
