//! `yarrowspoke fleet`: queries a planner or its directory about a fleet, and sends orders to a planner.

use crate::cli::{CommandOutput, OrderArgs, RecordFilter, RecordSource};
use crate::net::fleet::{send_message, LinkError, COMMAND_RESPONSE_LIMIT};
use crate::net::with_timeout;
use crate::planner;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowspoke_fleet::audit::{audit as audit_log, Audit, AuditQuery};
use yarrowspoke_fleet::version::Version;

/// How long a planner may take to answer an operator.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

fn output(result: Result<String, String>) -> CommandOutput {
    match result {
        Ok(text) => CommandOutput { text, success: true },
        Err(text) => CommandOutput { text: format!("{text}\n"), success: false },
    }
}

fn get(address: SocketAddr, target: &str) -> Result<Vec<u8>, String> {
    let (mut connection, named) = (None, |e: &dyn ToString| format!("{address}: {}", e.to_string()));
    let call = with_timeout(
        ANSWER_TIMEOUT,
        send_message(&mut connection, address, ("GET", target), b"", COMMAND_RESPONSE_LIMIT),
    );
    match async_io::block_on(call) {
        Some(Ok(body)) => Ok(body),
        Some(Err(e)) => Err(named(&e)),
        None => Err(named(&"no answer in time")),
    }
}

fn version_text(version: &serde_json::Value) -> String {
    let list = &version["list"];
    let status = &version["news"];
    let phases = ["trial", "released", "rolling back", "withdrawn"];
    let phase = phases.get(status["phase"].as_u64().unwrap_or(9) as usize).copied().unwrap_or("-");
    let cap = status["cap"].as_f64().unwrap_or(0.0) / 1e4;
    format!("list {:>6}  build {} {phase} {cap:.1} %", list["index"].to_string(), status["build"])
}

/// Prints what one planner knows of its fleet now.
pub fn status(at: SocketAddr, json: bool) -> CommandOutput {
    let print = || {
        let body = get(at, "/fleet/status")?;
        if json {
            return Ok(String::from_utf8_lossy(&body).into_owned() + "\n");
        }
        let status: serde_json::Value = serde_json::from_slice(&body).map_err(|e| format!("{at}: {e}"))?;
        let mut text = format!(
            "planner {}, at most {} fronts out of service; last contact with other planners, ms ago: {}\n",
            status["planner"].as_str().unwrap_or(""),
            status["most_out"],
            status["planners_ms_ago"]
        );
        for front in status["fronts"].as_array().into_iter().flatten() {
            let last_heartbeat = front["heard_ms_ago"]
                .as_u64()
                .map_or("no heartbeat yet".into(), |ms| format!("last heartbeat {ms} ms ago"));
            let stale =
                front["behind_ms"].as_u64().map_or(String::new(), |ms| format!(", stale for {ms} ms"));
            let out = front["out"].as_str().map_or(String::new(), |o| format!(", out of service: {o}"));
            let missing = front["missing"].as_u64().filter(|n| *n > 0);
            let missing = missing.map_or(String::new(), |n| format!(", {n} spans missing here"));
            let duplicate = if front["twin"] == true { ", TWO PROCESSES UNDER THIS NAME" } else { "" };
            let version =
                if front["version"].is_null() { "unknown".into() } else { version_text(&front["version"]) };
            let _ = writeln!(
                text,
                "{:<12} {:<8} {:<12} {version}, {last_heartbeat}{stale}{out}{missing}{duplicate}",
                front["name"].as_str().unwrap_or(""),
                front["zone"].as_str().unwrap_or(""),
                front["step"].as_str().unwrap_or(""),
            );
        }
        for contradiction in status["contradictions"].as_array().into_iter().flatten() {
            let _ = writeln!(text, "contradiction: {contradiction}");
        }
        for (why, count) in status["refused"].as_object().into_iter().flatten() {
            let _ = writeln!(text, "refused {count} times: {why}");
        }
        Ok(text)
    };
    output(print())
}

fn micros(seconds: Option<f64>) -> Result<Option<u64>, String> {
    match seconds {
        None => Ok(None),
        Some(s) if s.is_finite() && s >= 0.0 => Ok(Some((s * 1e6) as u64)),
        Some(s) => Err(format!("found {s}, expected Unix time in seconds")),
    }
}

fn fetch_audit(source: &RecordSource, filter: &RecordFilter) -> Result<Audit, String> {
    let filter = AuditQuery {
        front: filter.front.clone(),
        index: filter.version,
        from: micros(filter.from)?,
        to: micros(filter.to)?,
    };
    if let Some(dir) = &source.dir {
        let (report_log, unreadable) = planner::read_report_log(dir)?;
        if !unreadable.is_empty() {
            return Err(unreadable.join("\n"));
        }
        return Ok(audit_log(&report_log, &filter));
    }
    let at = source.at.ok_or("either an address or a directory is required")?;
    let parameter =
        |name: &str, value: Option<String>| value.map_or(String::new(), |v| format!("{name}={v}&"));
    let number = |n: Option<u64>| n.map(|n| n.to_string());
    let query = parameter("front", filter.front)
        + &parameter("index", number(filter.index))
        + &parameter("from", number(filter.from))
        + &parameter("to", number(filter.to));
    let body = get(at, &format!("/fleet/audit?{query}"))?;
    serde_json::from_slice(&body).map_err(|e| format!("{at}: {e}"))
}

fn version_used(version: &Version) -> String {
    version_text(&serde_json::to_value(version).unwrap_or_default())
}

/// Prints which front acted on which version when: one line for each run of spans on the same version.
pub fn audit(source: &RecordSource, filter: &RecordFilter, json: bool) -> CommandOutput {
    let print = || {
        let audit = fetch_audit(source, filter)?;
        if json {
            return serde_json::to_string(&audit).map(|t| t + "\n").map_err(|e| e.to_string());
        }
        let mut text = String::new();
        for record in &audit.incarnations {
            let _ = writeln!(text, "{} incarnation {}", record.front, record.incarnation);
            let mut at = 0;
            while let Some(first) = record.rows.get(at) {
                let same = |r: &&yarrowspoke_fleet::audit::Row| {
                    (r.span.version, r.span.stance) == (first.span.version, first.span.stance)
                        && r.span.last_version == first.span.last_version
                };
                let run: Vec<_> = record.rows[at..].iter().take_while(same).collect();
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
                    version_used(&first.span.version),
                    first.span.stance,
                    machines.len(),
                    if joined { "  (spans merged: no planner was reachable)" } else { "" },
                );
            }
            for gap in &record.unknown {
                let _ = writeln!(
                    text,
                    "  UNKNOWN from {:.3} s on{}: {}",
                    gap.from as f64 / 1e6,
                    gap.until_wall
                        .map_or(", to now".into(), |w| format!(", to Unix time {:.3}", w as f64 / 1e6)),
                    gap.why
                );
            }
        }
        for contradiction in &audit.contradictions {
            let _ = writeln!(
                text,
                "CONTRADICTION {} incarnation {} span {}: {}",
                contradiction.front, contradiction.incarnation, contradiction.number, contradiction.what
            );
        }
        Ok(text)
    };
    output(print())
}

/// How long an order may take to be decided.
const ORDER_TIMEOUT: Duration = Duration::from_secs(15);
/// After how long an undecided order is sent again.
const ORDER_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);

fn post_order(address: SocketAddr, body: &[u8]) -> Result<(), String> {
    let mut connection = None;
    let call = with_timeout(
        ANSWER_TIMEOUT,
        send_message(&mut connection, address, ("POST", "/fleet/order"), body, COMMAND_RESPONSE_LIMIT),
    );
    match async_io::block_on(call) {
        // Too many orders for now: like one that is lost, this one is sent again.
        Some(Ok(_) | Err(LinkError::Status(503, _))) => Ok(()),
        Some(Err(e)) => Err(format!("{address}: {e}")),
        None => Err(format!("{address}: no answer in time")),
    }
}

fn agreed_state(address: SocketAddr) -> Result<serde_json::Value, String> {
    serde_json::from_slice(&get(address, "/fleet/agreed")?).map_err(|e| format!("{address}: {e}"))
}

fn submit_order(order: &OrderArgs, fields: &[(&str, &str)], number: u64) -> Result<String, String> {
    let ticket = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let mut body =
        serde_json::json!({"by": order.by, "knows": order.knows, "ticket": ticket, "number": number});
    for (name, value) in fields {
        body[*name] = (*value).into();
    }
    let bytes = body.to_string().into_bytes();
    let (started, mut sent) = (Instant::now(), None::<Instant>);
    while started.elapsed() < ORDER_TIMEOUT {
        // The ticket makes the order idempotent: sent again, it is carried out once.
        if sent.is_none_or(|at| at.elapsed() > ORDER_RESEND_INTERVAL) {
            post_order(order.at, &bytes)?;
            sent = Some(Instant::now());
        }
        let agreed = agreed_state(order.at)?;
        let outcomes = agreed["state"]["outcomes"].as_array().cloned().unwrap_or_default();
        if let Some(outcome) = outcomes.iter().find(|o| o[0] == ticket) {
            return match &outcome[1] {
                serde_json::Value::Null => Ok(format!("agreed: {}\n", outcome[2].as_str().unwrap_or(""))),
                why => Err(format!("refused: {why}")),
            };
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!(
        "{}: not decided within {ORDER_TIMEOUT:?}, and it may still be decided: check the permits",
        order.at
    ))
}

/// Sends an order and waits until it is decided. The exit status is 1 if it is refused or its outcome is not known in
/// time.
pub fn order(order: &OrderArgs, fields: &[(&str, &str)]) -> CommandOutput {
    output(submit_order(order, fields, 0))
}

/// Orders a permit withdrawn, named by its number.
pub fn free(order: &OrderArgs, front: &str, number: u64) -> CommandOutput {
    output(submit_order(order, &[("what", "free"), ("front", front)], number))
}

/// Prints which fronts hold a permit, which wait for one, and which are unreachable.
pub fn permits(at: SocketAddr, json: bool) -> CommandOutput {
    let print = || {
        let agreed = agreed_state(at)?;
        if json {
            return Ok(format!("{agreed}\n"));
        }
        let state = &agreed["state"];
        let mut text = format!("orders applied {}, leader {}\n", state["orders"], agreed["leader"]);
        if let Some(halt) = state["halted"].as_array() {
            let _ = writeln!(text, "HALTED by {}: {}", halt[1], halt[0]);
        }
        for (front, permit) in state["permits"].as_object().into_iter().flatten() {
            let _ = writeln!(
                text,
                "{front} holds permit {}, {}, cause {}",
                permit["number"], permit["phase"], permit["cause"]
            );
        }
        for waiting in state["waits"].as_array().into_iter().flatten() {
            let _ = writeln!(text, "{} waits for a permit, cause {}", waiting[0], waiting[2]);
        }
        let _ = writeln!(text, "unreachable fronts, by planner: {}", state["views"]);
        Ok(text)
    };
    output(print())
}

/// Checks a planner's directory for broken chains, gaps and contradictions.
pub fn verify(dir: &Path) -> CommandOutput {
    let check = || {
        let (report_log, unreadable) = planner::read_report_log(dir)?;
        let mut text = String::new();
        for (front, incarnation) in report_log.incarnations() {
            let (view, gaps) = (report_log.view(front, incarnation), report_log.gaps(front, incarnation));
            let _ =
                writeln!(text, "{front} incarnation {incarnation}: {} reports, gaps {gaps:?}", view.len());
        }
        let faults: Vec<String> = report_log
            .contradictions()
            .into_iter()
            .map(|c| format!("{} incarnation {} span {}: {}", c.front, c.incarnation, c.number, c.what))
            .chain(unreadable)
            .collect();
        if faults.is_empty() {
            Ok(format!("{}: valid\n{text}", dir.display()))
        } else {
            Err(format!("{text}{}", faults.join("\n")))
        }
    };
    output(check())
}
