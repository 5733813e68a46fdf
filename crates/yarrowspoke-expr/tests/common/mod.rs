//! Sets of rules and requests shared by the tests; no test file uses all of them.
#![allow(dead_code)]

use yarrowspoke_expr::bounds::Bounds;
use yarrowspoke_expr::request::Request;
use yarrowspoke_expr::ruling::{RuleActions, RuleFault};
use yarrowspoke_expr::set::{Order, RuleSet, RuleSetSource, RuleSource, Scratch};

pub const NO_HEADERS: &[Option<String>] = &[];

pub fn request(target: &str) -> Request<'_> {
    let class = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
    Request {
        method: "GET",
        target,
        class,
        tenant: "acme",
        headers: NO_HEADERS,
        budget: 2_000_000,
        hint: None,
        repeat: false,
        length: 0,
    }
}

pub fn rule(name: &str, when: &str) -> RuleSource {
    let actions = RuleActions { at_most_once: true, ..RuleActions::default() };
    RuleSource { name: name.into(), when: when.into(), actions }
}

pub fn source(order: Order, whens: &[&str]) -> RuleSetSource {
    let rules = whens.iter().enumerate().map(|(n, w)| rule(&format!("r{n}"), w)).collect();
    RuleSetSource { order, bounds: Bounds::default(), rules }
}

pub fn compile(order: Order, whens: &[&str]) -> Result<RuleSet, Vec<RuleFault>> {
    RuleSet::compile(&source(order, whens))
}

/// Returns whether a single condition holds, after checking that all evaluation methods agree.
pub fn holds(when: &str, request: &Request) -> bool {
    let set = compile(Order::All, &[when]).unwrap_or_else(|f| panic!("{when}: {f:?}"));
    let mut scratch = Scratch::new(&set, 1);
    let by_index = set.matches_indexed(&mut scratch, request);
    assert_eq!(
        by_index,
        set.matches_interpreted(&set.syntax_trees(), request),
        "{when}: index and interpreter disagree"
    );
    assert_eq!(
        by_index,
        set.matches_sequential(&mut scratch, request),
        "{when}: index and sequential evaluation disagree"
    );
    let ruling = set.evaluate::<true>(&mut scratch, request);
    assert!(scratch.steps() <= set.cost(), "{when}: {} steps of {}", scratch.steps(), set.cost());
    assert_eq!(ruling.matched as usize, by_index.len());
    !by_index.is_empty()
}

/// Returns the first fault of a condition that is rejected.
pub fn refused(when: &str) -> RuleFault {
    match compile(Order::First, &[when]) {
        Ok(_) => panic!("accepted: {:.60}", when),
        Err(faults) => faults[0].clone(),
    }
}
