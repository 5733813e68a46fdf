//! Sets of rules: compiled as a whole or rejected, and evaluated for each request.

use crate::bounds::{self, Bounds, MAX_RULES};
use crate::buckets::Limit;
use crate::check::Checker;
use crate::index::Index;
use crate::interpreter;
use crate::logic::{allowed_texts, conjuncts, disjuncts, find_shadowed, is_never_true};
use crate::parse::parse;
use crate::program::{hash, CompiledExpr, Compiler, Machine, Program, Value};
use crate::regexes::Regexes;
use crate::request::Request;
use crate::ruling::{bind, BoundActions, Deployment, RuleActions, RuleFault, RulePart, Ruling};
use crate::syntax::{Expr, Fault, Kind, Span};
use crate::terms::{Field, Pool, Term, TermId, Type, TEXT};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hasher;

/// Which of the rules that hold apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Only the first one.
    #[default]
    First,
    /// All of them, in order.
    All,
}

/// Rule as the file defines it.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSource {
    /// Name, unique in the set.
    pub name: String,
    /// Condition.
    pub when: String,
    /// Actions.
    pub actions: RuleActions,
}

/// Set of rules as the file defines it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleSetSource {
    /// Which of the rules that hold apply.
    pub order: Order,
    /// Bounds of the set.
    pub bounds: Bounds,
    /// Rules in the order of the file.
    pub rules: Vec<RuleSource>,
}

struct Rule {
    name: String,
    actions: RuleActions,
    when: CompiledExpr,
    subject: Option<CompiledExpr>,
    limit_key: Option<CompiledExpr>,
    bound_actions: BoundActions,
    /// Identifier of its limit, the same before and after a reload.
    limit_id: u64,
    /// Source text of the condition, for `explain`.
    text: String,
    /// Classes for which the rule can hold, if its condition names them.
    possible_classes: Option<BTreeSet<String>>,
    /// Whether the rule holds for every request of those classes.
    whole_class: bool,
}

/// Warning about a rule that is valid but probably not intended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Warning {
    /// Index of the rule, if the warning is about one.
    pub rule: Option<usize>,
    /// Description of the problem.
    pub text: String,
}

/// Compiled set of rules.
pub struct RuleSet {
    order: Order,
    bounds: Bounds,
    rules: Vec<Rule>,
    program: Program,
    index: Index,
    headers: Vec<String>,
    cost: u64,
    /// Warnings found at load.
    pub warnings: Vec<Warning>,
}

/// Evaluation of one rule for `explain`.
#[derive(Clone, Debug)]
pub struct RuleExplanation {
    /// Name of the rule.
    pub name: String,
    /// Whether the condition held; `None` if it had no value.
    pub matched: Option<bool>,
    /// Whether the index selected the rule.
    pub is_candidate: bool,
    /// Parts of the condition with the value of each.
    pub parts: Vec<(String, String)>,
}

/// Steps that every request takes, whatever the rules: the call itself.
const BASE_COST: u64 = 4;

impl RuleSet {
    /// Compiles a set, or returns all faults found in one pass.
    pub fn compile(source: &RuleSetSource) -> Result<Self, Vec<RuleFault>> {
        let mut faults = Vec::new();
        let fault = |rule, found: String, expected: String| RuleFault {
            rule,
            rule_part: RulePart::Whole,
            at: Span::default(),
            found,
            expected,
        };
        if source.rules.len() > MAX_RULES {
            let found = format!("{} rules", source.rules.len());
            return Err(vec![fault(None, found, format!("at most {MAX_RULES}"))]);
        }
        let mut pool = Pool::new(source.bounds);
        let mut regexes = Regexes::default();
        let mut checked_rules: Vec<CheckedRule> = Vec::new();
        let mut first_by_name: HashMap<&str, usize> = HashMap::new();
        for (rule_index, rule) in source.rules.iter().enumerate() {
            if let Some(first) = first_by_name.insert(&rule.name, rule_index) {
                let expected = format!("another name: rule {} has it", first + 1);
                faults.push(fault(Some(rule_index), format!("a second rule {}", rule.name), expected));
            }
            if rule.actions.is_empty() {
                let expected = "something that it says: class, effect, refuse and so on".to_owned();
                faults.push(fault(
                    Some(rule_index),
                    format!("rule {} that says nothing", rule.name),
                    expected,
                ));
            }
            let mut check_text =
                |rule_part: RulePart, text: &str, ty: Type, costliest: &mut CostliestOperation| {
                    let mut checker =
                        Checker { pool: &mut pool, regexes: &mut regexes, costliest: (0, Span::default()) };
                    let term = parse(text).and_then(|tree| checker.check_root(&tree, ty));
                    costliest.record(checker.costliest, rule_part, text);
                    match term {
                        Ok(term) => Some(term),
                        Err(Fault { at, found, expected }) => {
                            faults.push(RuleFault { rule: Some(rule_index), rule_part, at, found, expected });
                            None
                        }
                    }
                };
            let mut costliest = CostliestOperation::default();
            let when = check_text(RulePart::When, &rule.when, Type::Bool, &mut costliest);
            let subject =
                rule.actions.subject.as_ref().map(|s| check_text(RulePart::Subject, s, TEXT, &mut costliest));
            let limit_key = rule.actions.limit.as_ref().and_then(|l| l.key.as_ref());
            let limit_key = limit_key.map(|k| check_text(RulePart::LimitKey, k, TEXT, &mut costliest));
            if let Some(when) = when {
                checked_rules.push(CheckedRule {
                    when,
                    subject: subject.flatten(),
                    limit_key: limit_key.flatten(),
                    costliest,
                });
            }
            // Patterns are compiled while the file is read. Without this check, thousands of large ones could exhaust
            // the memory before the size of the whole set is checked.
            let pattern_bytes: usize = regexes.all.iter().map(|r| r.bytes()).sum();
            if pattern_bytes > source.bounds.max_bytes {
                let found = format!("regular expressions of {pattern_bytes} bytes up to rule {}", rule.name);
                faults.push(fault(
                    Some(rule_index),
                    found,
                    format!("at most {} for the set", source.bounds.max_bytes),
                ));
                break;
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Self::assemble(source, pool, regexes, checked_rules)
    }

    fn assemble(
        source: &RuleSetSource,
        pool: Pool,
        regexes: Regexes,
        checked_rules: Vec<CheckedRule>,
    ) -> Result<Self, Vec<RuleFault>> {
        let term_uses = term_uses(&pool, &checked_rules);
        let mut compiler = Compiler::new(&pool, &term_uses, regexes);
        let mut rules = Vec::new();
        let mut rule_costs = Vec::new();
        let mut action_costs = Vec::new();
        for (rule, checked_rule) in source.rules.iter().zip(&checked_rules) {
            let when = compiler.compile(checked_rule.when);
            let subject = checked_rule.subject.map(|id| compiler.compile(id));
            let limit_key = checked_rule.limit_key.map(|id| compiler.compile(id));
            // Subjects and keys are hashed after they are evaluated.
            let hashed_cost = |part: Option<CompiledExpr>, id: Option<TermId>| {
                part.map_or(0, |p| p.cost + id.map_or(0, |id| bounds::lookup_cost(pool.facts(id).max_bytes)))
            };
            let action = 1
                + hashed_cost(subject, checked_rule.subject)
                + hashed_cost(limit_key, checked_rule.limit_key);
            let (possible_classes, whole_class) = classes(&pool, checked_rule.when);
            rule_costs.push(1 + when.cost + if source.order == Order::All { action } else { 0 });
            action_costs.push(action);
            rules.push(Rule {
                name: rule.name.clone(),
                actions: rule.actions.clone(),
                when,
                subject,
                limit_key,
                bound_actions: BoundActions::default(),
                limit_id: hash(&rule.name) as u64,
                text: rule.when.clone(),
                possible_classes,
                whole_class,
            });
        }
        let conditions: Vec<TermId> = checked_rules.iter().map(|r| r.when).collect();
        let names: Vec<&str> = rules.iter().map(|r| r.name.as_str()).collect();
        let index = Index::build(&pool, &conditions, &rule_costs, &names, &mut compiler);
        let program = compiler.finish();
        let segments =
            if program.uses_segments { bounds::scan_cost(source.bounds.max_target_bytes) } else { 0 };
        let action = match source.order {
            Order::First => action_costs.iter().copied().max().unwrap_or(0),
            Order::All => 0,
        };
        let cost = BASE_COST + segments + index.cost + action;
        let warnings = warnings(&pool, source, &conditions);
        let headers = pool.headers;
        let set = Self {
            order: source.order,
            bounds: source.bounds,
            rules,
            program,
            index,
            headers,
            cost,
            warnings,
        };
        set.within_bounds(&checked_rules, &rule_costs, &action_costs).map(|()| set)
    }

    /// Rejects a set that is too expensive or too large; the fault names the most expensive part.
    fn within_bounds(
        &self,
        checked_rules: &[CheckedRule],
        rule_costs: &[u64],
        action_costs: &[u64],
    ) -> Result<(), Vec<RuleFault>> {
        let rule_set_fault = |found: String, expected: String| RuleFault {
            rule: None,
            rule_part: RulePart::Whole,
            at: Span::default(),
            found,
            expected,
        };
        let mut faults = Vec::new();
        for (rule_index, checked_rule) in checked_rules.iter().enumerate() {
            let rule_cost =
                rule_costs[rule_index].max(1 + self.rules[rule_index].when.cost + action_costs[rule_index]);
            if rule_cost > self.bounds.max_steps {
                let CostliestOperation { cost, at, rule_part, text } = &checked_rule.costliest;
                let found = format!(
                    "rule {} of up to {rule_cost} steps, the dearest of them {cost} for {}",
                    self.rules[rule_index].name,
                    excerpt_of(text, *at)
                );
                let expected = format!("at most {} steps", self.bounds.max_steps);
                faults.push(RuleFault {
                    rule: Some(rule_index),
                    rule_part: *rule_part,
                    at: *at,
                    found,
                    expected,
                });
            }
        }
        if faults.is_empty() && self.cost > self.bounds.max_steps {
            let found = format!(
                "rules that may cost a request {} steps, the dearest part {}",
                self.cost, self.index.costliest
            );
            faults.push(rule_set_fault(found, format!("at most {} steps", self.bounds.max_steps)));
        }
        let bytes = self.bytes();
        if bytes > self.bounds.max_bytes {
            let found = format!("a compiled set of {bytes} bytes");
            faults.push(rule_set_fault(found, format!("at most {} bytes", self.bounds.max_bytes)));
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// Resolves names of the rules in a deployment. Rejects actions that would weaken its guards.
    pub fn bind(&mut self, deployment: &Deployment) -> Result<(), Vec<RuleFault>> {
        let mut faults = Vec::new();
        for (rule_index, rule) in self.rules.iter_mut().enumerate() {
            match bind(&rule.actions, rule.possible_classes.as_ref(), deployment) {
                Ok(bound_actions) => rule.bound_actions = bound_actions,
                Err(refused) => faults.extend(refused.into_iter().map(|(found, expected)| RuleFault {
                    rule: Some(rule_index),
                    rule_part: RulePart::Whole,
                    at: Span::default(),
                    found,
                    expected,
                })),
            }
        }
        for (rule_index, rule) in self.rules.iter().enumerate() {
            for class in
                rule.possible_classes.iter().flatten().filter(|c| !deployment.class_names.contains(c))
            {
                let text = format!("asks for class {class:?}, which the settings don't name");
                self.warnings.push(Warning { rule: Some(rule_index), text });
            }
        }
        let is_refused = |class: &String| {
            let mut whole_class_rules = self.rules.iter().filter(|r| r.whole_class);
            whole_class_rules.any(|r| {
                r.actions.refuse.is_some() && r.possible_classes.as_ref().is_none_or(|h| h.contains(class))
            })
        };
        let refused_classes: Vec<&str> =
            deployment.class_names.iter().filter(|c| is_refused(c)).map(String::as_str).collect();
        if !refused_classes.is_empty() {
            let all = refused_classes.len() == deployment.class_names.len();
            let requests = if all {
                "every request".to_owned()
            } else {
                format!("every request of {}", refused_classes.join(", "))
            };
            // With "first match", an earlier rule may let some requests through, so the warning says so.
            let exception = match self.order {
                Order::First => ", unless an earlier rule holds for it",
                Order::All => "",
            };
            self.warnings.push(Warning { rule: None, text: format!("{requests} is refused{exception}") });
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// Returns the maximum number of steps for a request.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns a description of the part that contributes most to [`RuleSet::cost`].
    pub fn costliest(&self) -> &str {
        &self.index.costliest
    }

    /// Returns the bounds under which the set was compiled.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Returns the names in lower case of the headers that the set reads, in the order of [`Request::headers`].
    pub fn headers(&self) -> &[String] {
        &self.headers
    }

    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Returns whether the set has no rules.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the number of rules that are evaluated for every request.
    pub fn unindexed(&self) -> usize {
        self.index.unindexed
    }

    /// Returns the number of regular expressions and the total size in bytes of their automata.
    pub fn regexes(&self) -> (usize, usize) {
        let all = &self.program.regexes.all;
        (all.len(), all.iter().map(|r| r.bytes()).sum())
    }

    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        let rule = |r: &Rule| {
            let names = r.possible_classes.iter().flatten().map(|n| n.len() + 40).sum::<usize>();
            size_of::<Rule>() + r.name.len() + r.text.len() + names
        };
        self.rules.iter().map(rule).sum::<usize>() + self.program.bytes() + self.index.bytes()
    }

    /// Returns whether a rule defines a limit with this identifier.
    pub fn has_limit(&self, id: u64) -> bool {
        self.rules.iter().any(|r| r.limit_id == id && r.actions.limit.is_some())
    }

    /// Returns the combined result of the rules for a request that passes [`Request::check_size`]. With `COUNTED`,
    /// counts the steps taken in [`Scratch::steps`].
    pub fn evaluate<const COUNTED: bool>(&self, scratch: &mut Scratch, request: &Request) -> Ruling {
        scratch.limits.clear();
        let Scratch { machine, bits, .. } = scratch;
        machine.start_request(&self.program, request);
        if COUNTED {
            let segments =
                if self.program.uses_segments { bounds::scan_cost(request.path().len()) } else { 0 };
            machine.steps += BASE_COST + segments;
        }
        self.index.find_candidates::<COUNTED>(&self.program, machine, request, bits);
        let mut ruling = Ruling::default();
        for word in 0..scratch.bits.len() {
            let mut bits_left = scratch.bits[word];
            while bits_left != 0 {
                let rule_index = word * 64 + bits_left.trailing_zeros() as usize;
                bits_left &= bits_left - 1;
                let rule = &self.rules[rule_index];
                let machine = &mut scratch.machine;
                if COUNTED {
                    machine.steps += 1;
                }
                match machine.run::<COUNTED>(&self.program, rule.when, request) {
                    Ok(Value::Bool(true)) => {}
                    Ok(_) => continue,
                    Err(_) => {
                        ruling.without_value += 1;
                        continue;
                    }
                }
                if COUNTED {
                    machine.steps += 1;
                }
                self.apply::<COUNTED>(rule, scratch, request, &mut ruling);
                if self.order == Order::First {
                    return ruling;
                }
            }
        }
        ruling
    }

    fn apply<const COUNTED: bool>(
        &self,
        rule: &Rule,
        scratch: &mut Scratch,
        request: &Request,
        ruling: &mut Ruling,
    ) {
        let Scratch { machine, limits, keys, .. } = scratch;
        let subject = self.subject::<COUNTED>(rule, machine, request);
        ruling.without_value += u32::from(rule.subject.is_some() && subject.is_none());
        if let Some((rate, burst)) = rule.bound_actions.limit {
            let mut hasher = SipHasher13::new_with_keys(keys.0, keys.1);
            hasher.write_u64(rule.limit_id);
            match rule.limit_key.map(|part| machine.run::<COUNTED>(&self.program, part, request)) {
                Some(Ok(Value::Text(slice))) => {
                    if COUNTED {
                        machine.steps += bounds::lookup_cost(slice.bytes());
                    }
                    hasher.write(machine.text(&self.program, request, slice).as_bytes());
                }
                // Requests whose key has no value share one key, so that they are limited together.
                Some(_) => ruling.without_value += 1,
                None => {}
            }
            limits.push((Limit { rule: rule.limit_id, rate, burst }, hasher.finish()));
        }
        ruling.add(&rule.bound_actions, subject);
    }

    /// Returns the hash of a rule's subject. The hash has no key of this front's own: fronts with different hash
    /// positions for a subject would send it to different builds.
    fn subject<const COUNTED: bool>(
        &self,
        rule: &Rule,
        machine: &mut Machine,
        request: &Request,
    ) -> Option<u64> {
        let Ok(Value::Text(slice)) = machine.run::<COUNTED>(&self.program, rule.subject?, request) else {
            return None;
        };
        if COUNTED {
            machine.steps += bounds::lookup_cost(slice.bytes());
        }
        // 0 is reserved for "no subject".
        Some((hash(machine.text(&self.program, request, slice)) as u64).max(1))
    }

    /// Returns the syntax trees of the conditions, for [`RuleSet::matches_interpreted`].
    pub fn syntax_trees(&self) -> Vec<Expr> {
        self.rules.iter().filter_map(|r| parse(&r.text).ok()).collect()
    }

    /// Returns the rules that hold, with the reference interpreter and without the index.
    pub fn matches_interpreted(&self, trees: &[Expr], request: &Request) -> Vec<usize> {
        let possible_classes = |tree: &Expr| {
            let value = interpreter::value(tree, request, &self.program.regexes, &self.headers);
            value == Some(interpreter::Value::Bool(true))
        };
        let all = (0..trees.len()).filter(|n| possible_classes(&trees[*n]));
        match self.order {
            Order::First => all.take(1).collect(),
            Order::All => all.collect(),
        }
    }

    /// Returns the rules that hold, with the compiled conditions evaluated in order and without the index. This is
    /// faster than the interpreter and slower than [`RuleSet::evaluate`].
    pub fn matches_sequential(&self, scratch: &mut Scratch, request: &Request) -> Vec<usize> {
        scratch.machine.start_request(&self.program, request);
        let mut matching = Vec::new();
        for (rule_index, rule) in self.rules.iter().enumerate() {
            if scratch.machine.run::<false>(&self.program, rule.when, request) == Ok(Value::Bool(true)) {
                matching.push(rule_index);
                if self.order == Order::First {
                    break;
                }
            }
        }
        matching
    }

    /// Returns the rules that hold, with the index and the compiled conditions.
    pub fn matches_indexed(&self, scratch: &mut Scratch, request: &Request) -> Vec<usize> {
        let Scratch { machine, bits, .. } = scratch;
        machine.start_request(&self.program, request);
        self.index.find_candidates::<false>(&self.program, machine, request, bits);
        let all = (0..self.rules.len()).filter(|n| bits[n / 64] >> (n % 64) & 1 == 1);
        let possible_classes = |n: &usize| {
            machine.run::<false>(&self.program, self.rules[*n].when, request) == Ok(Value::Bool(true))
        };
        let all = all.filter(possible_classes);
        match self.order {
            Order::First => all.take(1).collect(),
            Order::All => all.collect(),
        }
    }

    /// Explains the rules that the index selects, or with `all` every rule.
    pub fn explain(&self, scratch: &mut Scratch, request: &Request, all: bool) -> Vec<RuleExplanation> {
        let Scratch { machine, bits, .. } = scratch;
        machine.start_request(&self.program, request);
        self.index.find_candidates::<false>(&self.program, machine, request, bits);
        let is_candidate = |rule_index: usize| bits[rule_index / 64] >> (rule_index % 64) & 1 == 1;
        let value = |e: &Expr| interpreter::value(e, request, &self.program.regexes, &self.headers);
        let rules = self.rules.iter().enumerate().filter(|(rule_index, _)| all || is_candidate(*rule_index));
        rules
            .filter_map(|(rule_index, rule)| {
                let tree = parse(&rule.text).ok()?;
                let parts = match &tree.kind {
                    Kind::And(parts) | Kind::Or(parts) => parts.as_slice(),
                    _ => std::slice::from_ref(&tree),
                };
                let describe =
                    |e: &Expr| (e.to_string(), value(e).map_or("no value".to_owned(), |v| v.to_string()));
                let matched = match value(&tree) {
                    Some(interpreter::Value::Bool(b)) => Some(b),
                    _ => None,
                };
                let parts = parts.iter().map(describe).collect();
                Some(RuleExplanation {
                    name: rule.name.clone(),
                    matched,
                    is_candidate: is_candidate(rule_index),
                    parts,
                })
            })
            .collect()
    }

    /// Returns the actions of a rule.
    pub fn actions(&self, rule: usize) -> &RuleActions {
        &self.rules[rule].actions
    }

    /// Returns the name of a rule.
    pub fn name(&self, rule: usize) -> &str {
        &self.rules[rule].name
    }
}

/// State for evaluating one set, reused from one request to the next.
pub struct Scratch {
    machine: Machine,
    bits: Vec<u64>,
    limits: Vec<(Limit, u64)>,
    keys: (u64, u64),
}

impl Scratch {
    /// Creates the state for `set`. The random `seed` prevents clients from predicting which keys of limits collide.
    pub fn new(set: &RuleSet, seed: u64) -> Self {
        let bits = Vec::with_capacity(set.rules.len().div_ceil(64));
        let keys = (seed, seed.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15);
        Self { machine: Machine::new(&set.program), bits, limits: Vec::new(), keys }
    }

    /// Returns the limits that apply to the last request, each with the hash of its key.
    pub fn limits(&self) -> &[(Limit, u64)] {
        &self.limits
    }

    /// Returns the steps that the last request took, if they were counted.
    pub fn steps(&self) -> u64 {
        self.machine.steps
    }
}

/// Rule whose expressions passed the type checker.
struct CheckedRule {
    when: TermId,
    subject: Option<TermId>,
    limit_key: Option<TermId>,
    costliest: CostliestOperation,
}

/// Most expensive operation of a rule.
#[derive(Default)]
struct CostliestOperation {
    cost: u64,
    at: Span,
    rule_part: RulePart,
    text: String,
}

impl CostliestOperation {
    fn record(&mut self, (cost, at): (u64, Span), rule_part: RulePart, text: &str) {
        if cost > self.cost {
            (self.cost, self.at, self.rule_part, self.text) = (cost, at, rule_part, text.to_owned());
        }
    }
}

/// Returns the part of a text at `at`, shortened to fit on a line.
fn excerpt_of(text: &str, at: Span) -> String {
    let excerpt = text.get(at.from..at.to).unwrap_or(text);
    let short: String = excerpt.chars().take(60).collect();
    if short.len() < excerpt.len() {
        format!("`{short}...`")
    } else {
        format!("`{short}`")
    }
}

/// Counts the uses of each term by rules; a term used several times by one rule counts several times.
fn term_uses(pool: &Pool, checked_rules: &[CheckedRule]) -> Vec<u32> {
    let mut term_uses = vec![0u32; pool.terms()];
    let roots = checked_rules.iter().flat_map(|r| [Some(r.when), r.subject, r.limit_key]).flatten();
    let mut work: Vec<TermId> = roots.collect();
    while let Some(id) = work.pop() {
        term_uses[id as usize] = term_uses[id as usize].saturating_add(1);
        // The operands of a term that was visited before are already counted.
        if term_uses[id as usize] == 1 {
            work.extend(pool.operands(id));
        }
    }
    term_uses
}

/// Returns the classes for which a condition can hold, if it names them, and whether it holds for all requests of those
/// classes.
fn classes(pool: &Pool, condition: TermId) -> (Option<BTreeSet<String>>, bool) {
    let mut classes = BTreeSet::new();
    let mut whole_class = true;
    for alternative in disjuncts(pool, condition) {
        let parts = conjuncts(pool, alternative);
        let allowed_classes = parts.iter().find_map(|p| {
            let (of, texts) = allowed_texts(pool, *p)?;
            matches!(pool.term(of), Term::Field(Field::Class)).then_some(texts)
        });
        whole_class &= parts.len() <= usize::from(allowed_classes.is_some());
        match allowed_classes {
            Some(texts) => classes.extend(texts.iter().map(|t| t.to_string())),
            None => return (None, parts.is_empty()),
        }
    }
    (Some(classes), whole_class)
}

fn warnings(pool: &Pool, source: &RuleSetSource, conditions: &[TermId]) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let name = |rule_index: usize| &source.rules[rule_index].name;
    for (rule_index, condition) in conditions.iter().enumerate() {
        if is_never_true(pool, *condition) {
            warnings.push(Warning {
                rule: Some(rule_index),
                text: format!("rule {} can never hold", name(rule_index)),
            });
        }
    }
    if source.order == Order::First {
        let (shadowed, complete) = find_shadowed(pool, conditions);
        for (rule_index, earlier) in shadowed.into_iter().enumerate() {
            if let Some(earlier) = earlier {
                let text = format!(
                    "rule {} is never reached: rule {} holds wherever it does",
                    name(rule_index),
                    name(earlier)
                );
                warnings.push(Warning { rule: Some(rule_index), text });
            }
        }
        if !complete {
            let text = "too many like rules: not all were compared for being never reached".to_owned();
            warnings.push(Warning { rule: None, text });
        }
    }
    warnings
}

impl std::fmt::Debug for RuleSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Set")
            .field("rules", &self.rules.len())
            .field("price", &self.cost)
            .finish_non_exhaustive()
    }
}
