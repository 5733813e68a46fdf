//! `yarrowspoke explain`: prints how the rules classify one request, and why.

use crate::classify::{as_request, rule_context, Classifier};
use crate::cli::CommandOutput;
use crate::config;
use crate::input::ClassProtocol;
use crate::net::http::{Decoder, BODY_LIMIT};
use crate::net::request_head::{ClientRequest, RequestHead};
use std::fmt::Write;
use std::path::Path;
use yarrowspoke_expr::set::Scratch;
use yarrowspoke_settings::Names;

/// Explains how the rules of the operator's file classify a request. The file `request` holds the request as bytes of
/// HTTP/1.1. With a configuration the rules are bound to its settings; without one the names in the request count as known.
pub fn explain(file: &Path, request: &Path, configuration: Option<&Path>, all: bool) -> CommandOutput {
    match explanation(file, request, configuration, all) {
        Ok(text) => CommandOutput { text, success: true },
        Err(text) => CommandOutput { text: format!("{text}\n"), success: false },
    }
}

fn explanation(
    file: &Path,
    request: &Path,
    configuration: Option<&Path>,
    all: bool,
) -> Result<String, String> {
    let operator = yarrowspoke_operator::load(file).map_err(|e| e.to_string())?;
    let Some(mut rules) = operator.rules else {
        return Err(format!("{}: the file has no section rules", file.display()));
    };
    let shown = request.display();
    let bytes = std::fs::read(request).map_err(|e| format!("{shown}: {e}"))?;
    let config = configuration.map(config::load).transpose().map_err(|e| e.to_string())?;
    if let Some(config) = &config {
        rules.bind(&rule_context(&config.settings)).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(|f| format!("{}:{f}", file.display())).collect();
            lines.join("\n")
        })?;
    }
    let names = match &config {
        Some(config) => config.settings.names.clone(),
        None => names_in_request(&bytes),
    };
    let class_protocols: Vec<ClassProtocol> = match &config {
        Some(config) => config.settings.module.classes.iter().map(ClassProtocol::of).collect(),
        None => names.classes.iter().map(|_| ClassProtocol::default()).collect(),
    };
    let classifier = Classifier::new(0);
    classifier.load(Some(rules));
    let mut decoder = Decoder::<RequestHead>::with_context(BODY_LIMIT, std::rc::Rc::clone(&classifier));
    decoder.feed(&bytes);
    let (mut head, body) = match decoder.next_message() {
        Ok(Some(message)) => message,
        Ok(None) => {
            return Err(format!(
                "{shown}: the request is cut short, expected a head, an empty line and the whole body"
            ))
        }
        Err(e) => return Err(format!("{shown}: answered with {}: {e}", e.status())),
    };
    let Some((loaded, headers)) = head.take_rules() else { return Err("no rules are in force".to_owned()) };
    let set = &loaded.set;
    let call = match head.into_request(body, &names, &class_protocols, &classifier, 0) {
        ClientRequest::Call(call) => call,
        ClientRequest::ReadinessCheck => return Err(format!("{shown}: the front answers /up itself")),
        ClientRequest::Invalid(status) => {
            return Err(format!("{shown}: answered with {status} before any rule is applied"))
        }
    };
    let request = as_request(&call, &headers, &names);
    if let Err(too_long) = request.check_size(set.bounds()) {
        return Err(format!("{shown}: answered with 414 or 431: {too_long:?} over the bounds of the rules"));
    }
    let mut scratch = Scratch::new(set, 0);
    let mut out = String::new();
    let explained = set.explain(&mut scratch, &request, all);
    for rule in &explained {
        let result = match rule.matched {
            Some(true) => "holds",
            Some(false) => "does not hold",
            None => "has no value",
        };
        let note = if rule.is_candidate { "" } else { ", and was not evaluated" };
        let _ = writeln!(out, "rule {}: {result}{note}", rule.name);
        for (part, value) in &rule.parts {
            let _ = writeln!(out, "    {part}  =  {value}");
        }
    }
    let ruling = set.evaluate::<true>(&mut scratch, &request);
    let steps = scratch.steps();
    if ruling.matched == 0 {
        let _ = writeln!(out, "no rule applies to it");
    } else {
        let _ = writeln!(out, "{} of {} rules apply to it; together they set:", ruling.matched, set.len());
        write_policy(&mut out, &ruling, &names, scratch.limits().len());
    }
    let _ = writeln!(
        out,
        "cost: {steps} steps, the bound is {} (most expensive rule: {})",
        set.cost(),
        set.costliest()
    );
    Ok(out)
}

fn write_policy(out: &mut String, ruling: &yarrowspoke_expr::ruling::Ruling, names: &Names, limits: usize) {
    let policy = &ruling.policy;
    let seconds = |us: u64| format!("{:.3} s", us as f64 / 1e6);
    let name = |all: &[String], n: usize| all.get(n).cloned().unwrap_or_else(|| n.to_string());
    let lines = [
        policy.refuse_with_retry_after.map(|us| format!("refused, retry after {}", seconds(us))),
        policy.at_most_once.then(|| "at most once: never sent again if it may have run".to_owned()),
        policy.max_attempts.map(|n| format!("at most {n} attempts")),
        policy.value_class.map(|c| {
            format!("uses the latency target and worth of class {}", name(&names.classes, c.into()))
        }),
        ruling.tenant.map(|t| format!("counts for tenant {}", name(&names.tenants, t as usize))),
        policy.hash_key.map(|s| format!("subject {s:016x}")),
        policy.preferred_zone.map(|z| format!("prefers zone {}", name(&names.zones, z.into()))),
        policy.preferred_kind.map(|k| format!("prefers machines of kind {}", name(&names.kinds, k.into()))),
        ruling.budget.map(|us| format!("budget at most {}", seconds(us))),
        (limits > 0).then(|| format!("subject to {limits} limits")),
    ];
    let lines: Vec<String> = lines.into_iter().flatten().collect();
    if lines.is_empty() {
        let _ = writeln!(out, "    (names are resolved only with --config)");
    }
    for line in lines {
        let _ = writeln!(out, "    {line}");
    }
}

/// Returns the names of the class and tenant that a request states.
fn names_in_request(bytes: &[u8]) -> Names {
    let text = String::from_utf8_lossy(bytes);
    let target = text.split_whitespace().nth(1).unwrap_or("/");
    let class = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
    let tenant =
        text.lines().filter_map(|l| l.split_once(':')).find(|f| f.0.eq_ignore_ascii_case("x-caller"));
    Names {
        classes: vec![class.to_owned()],
        tenants: tenant.iter().map(|t| t.1.trim().to_owned()).collect(),
        ..Names::default()
    }
}
