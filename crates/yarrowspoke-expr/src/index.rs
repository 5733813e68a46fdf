//! Finding the rules that may hold, without looking at each.
//!
//! A condition is found by one of its parts: a text that must be one of some constants, or must begin with one. All
//! rules that are found by the same text share one look-up. What has no such part is looked at for every request.

use crate::bounds;
use crate::logic::{allowed_texts, conjuncts, disjuncts, required_prefix};
use crate::program::{CompiledExpr, Compiler, Machine, Program, Value};
use crate::request::Request;
use crate::terms::{Pool, TermId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// How one part of a condition is found.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LookupKey {
    OneOf(TermId, Vec<Arc<str>>),
    Prefix(TermId, Arc<str>),
}

impl LookupKey {
    fn of(&self) -> TermId {
        match self {
            Self::OneOf(of, _) | Self::Prefix(of, _) => *of,
        }
    }

    fn keys(&self) -> &[Arc<str>] {
        match self {
            Self::OneOf(_, texts) => texts,
            Self::Prefix(_, text) => std::slice::from_ref(text),
        }
    }
}

/// Rules by constants of one text.
struct TextIndex {
    value: CompiledExpr,
    /// Most bytes of the text.
    max_bytes: usize,
    equals: HashMap<Arc<str>, Vec<u32>>,
    longest: usize,
    prefixes: HashMap<Arc<str>, Vec<u32>>,
    /// Lengths of the prefixes.
    lengths: Vec<usize>,
    /// Most steps for all rules found at once.
    max_match_cost: u64,
    /// Where that is.
    costliest_match: String,
}

impl TextIndex {
    /// Steps of the look-ups for a text of so many bytes.
    fn cost(&self, bytes: usize) -> u64 {
        let equals = if self.equals.is_empty() { 0 } else { bounds::lookup_cost(bytes.min(self.longest)) };
        let lengths = self.lengths.iter().take_while(|l| **l <= bytes);
        equals + lengths.map(|l| bounds::lookup_cost(*l)).sum::<u64>() + 1
    }
}

/// The index of a set.
pub struct Index {
    text_indexes: Vec<TextIndex>,
    /// Rules that are looked at for every request, as bits.
    always_evaluated: Vec<u64>,
    /// How many those are.
    pub unindexed: usize,
    /// Most steps that a request takes, the actions left out.
    pub cost: u64,
    /// What costs most of it, in words.
    pub costliest: String,
}

impl Index {
    /// Builds the index of conditions; `rule_costs` are the steps of each rule once it is found.
    pub fn build(
        pool: &Pool,
        conditions: &[TermId],
        rule_costs: &[u64],
        names: &[&str],
        compiler: &mut Compiler,
    ) -> Self {
        let lookup_keys: Vec<Vec<Vec<LookupKey>>> =
            conditions.iter().map(|c| lookup_keys(pool, *c)).collect();
        // Steps of all rules that one constant finds: the fewer, the better it tells them apart.
        let mut costs_by_key: HashMap<(TermId, &str, bool), u64> = HashMap::new();
        for (n, lookup_key) in
            lookup_keys.iter().enumerate().flat_map(|(n, w)| w.iter().flatten().map(move |w| (n, w)))
        {
            for key in lookup_key.keys() {
                *costs_by_key
                    .entry((lookup_key.of(), key, matches!(lookup_key, LookupKey::OneOf(..))))
                    .or_default() += rule_costs[n];
            }
        }
        let mut chosen: BTreeMap<TermId, Vec<(u32, &LookupKey)>> = BTreeMap::new();
        let mut always_evaluated = vec![0u64; conditions.len().div_ceil(64)];
        let mut unindexed = 0;
        for (n, alternatives) in lookup_keys.iter().enumerate() {
            let mut picks = Vec::new();
            for alternative in alternatives {
                let candidate_cost = |lookup_key: &&LookupKey| {
                    let shared = matches!(lookup_key, LookupKey::OneOf(..));
                    let keys = lookup_key.keys().iter();
                    let max_cost = keys
                        .map(|k| {
                            costs_by_key.get(&(lookup_key.of(), k.as_ref(), shared)).copied().unwrap_or(0)
                        })
                        .max();
                    let already_read = chosen.contains_key(&lookup_key.of());
                    max_cost.unwrap_or(0)
                        + if already_read { 0 } else { pool.facts(lookup_key.of()).total_cost }
                };
                picks.push(alternative.iter().min_by_key(candidate_cost));
            }
            if picks.is_empty() || picks.iter().any(Option::is_none) {
                always_evaluated[n / 64] |= 1 << (n % 64);
                unindexed += 1;
                continue;
            }
            for lookup_key in picks.into_iter().flatten() {
                chosen.entry(lookup_key.of()).or_default().push((n as u32, lookup_key));
            }
        }
        let costliest_rule = |rules: &[u32]| {
            rules.iter().max_by_key(|r| rule_costs[**r as usize]).map_or("", |r| names[*r as usize])
        };
        let mut text_indexes = Vec::new();
        for (of, found) in chosen {
            let mut equals: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
            let mut prefixes: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
            for (rule, lookup_key) in found {
                let to = if matches!(lookup_key, LookupKey::OneOf(..)) { &mut equals } else { &mut prefixes };
                for key in lookup_key.keys() {
                    let rules = to.entry(Arc::clone(key)).or_default();
                    if rules.last() != Some(&rule) {
                        rules.push(rule);
                    }
                }
            }
            let lengths: BTreeSet<usize> = prefixes.keys().map(|p| p.len()).collect();
            let lengths: Vec<usize> = lengths.into_iter().collect();
            let total_cost = |rules: &Vec<u32>| rules.iter().map(|r| rule_costs[*r as usize]).sum::<u64>();
            // Any text that meets a prefix meets just the prefixes of the longest one that it meets.
            let prefix_cost = |text: &str| {
                let lengths = lengths.iter().filter_map(|l| text.get(..*l));
                lengths.filter_map(|p| prefixes.get(p)).map(total_cost).sum::<u64>()
            };
            let of_equals = equals.iter().map(|(k, r)| (total_cost(r) + prefix_cost(k), k, r));
            let of_prefixes = prefixes.iter().map(|(k, r)| (prefix_cost(k), k, r));
            let costliest_key = of_equals.chain(of_prefixes).max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)));
            let (max_match_cost, costliest_match) =
                costliest_key.map_or((0, String::new()), |(cost, key, rules)| {
                    let all = rules.len();
                    (
                        cost,
                        format!(
                            "{} at {:?}: {cost} steps for {all} rules, the dearest {}",
                            pool.describe(of),
                            key,
                            costliest_rule(rules)
                        ),
                    )
                });
            let longest = equals.keys().map(|k| k.len()).max().unwrap_or(0);
            let max_bytes = pool.facts(of).max_bytes;
            let value = compiler.compile(of);
            text_indexes.push(TextIndex {
                value,
                max_bytes,
                equals,
                longest,
                prefixes,
                lengths,
                max_match_cost,
                costliest_match,
            });
        }
        let words = always_evaluated.len() as u64;
        let always_evaluated_rules: Vec<u32> =
            (0..conditions.len() as u32).filter(|n| is_set(&always_evaluated, *n)).collect();
        let always_evaluated_cost: u64 = always_evaluated_rules.iter().map(|r| rule_costs[*r as usize]).sum();
        let found: u64 =
            text_indexes.iter().map(|a| a.value.cost + a.cost(a.max_bytes) + a.max_match_cost).sum();
        let mut costs: Vec<(u64, String)> =
            text_indexes.iter().map(|a| (a.max_match_cost, a.costliest_match.clone())).collect();
        let always_evaluated_text = format!(
            "rules that no constant text finds: {always_evaluated_cost} steps for {unindexed} rules, the dearest {}",
            costliest_rule(&always_evaluated_rules)
        );
        costs.push((always_evaluated_cost, always_evaluated_text));
        let costliest = costs.into_iter().max_by_key(|d| d.0).map_or(String::new(), |d| d.1);
        Self {
            text_indexes,
            always_evaluated,
            unindexed,
            cost: found + always_evaluated_cost + 2 * words,
            costliest,
        }
    }

    /// Marks in `bits` all rules that may hold.
    pub fn find_candidates<const COUNTED: bool>(
        &self,
        program: &Program,
        machine: &mut Machine,
        request: &Request,
        bits: &mut Vec<u64>,
    ) {
        bits.clear();
        bits.extend_from_slice(&self.always_evaluated);
        if COUNTED {
            machine.steps += 2 * bits.len() as u64;
        }
        for text_index in &self.text_indexes {
            let value = machine.run::<COUNTED>(program, text_index.value, request);
            // Without a value none of its rules can hold.
            let Ok(Value::Text(slice)) = value else { continue };
            if COUNTED {
                machine.steps += text_index.cost(slice.bytes());
            }
            let text = machine.text(program, request, slice);
            let mut mark = |rules: &[u32]| {
                for rule in rules {
                    bits[*rule as usize / 64] |= 1 << (rule % 64);
                }
            };
            if text.len() <= text_index.longest {
                if let Some(rules) = text_index.equals.get(text) {
                    mark(rules);
                }
            }
            for length in text_index.lengths.iter().take_while(|l| **l <= text.len()) {
                if let Some(rules) = text.get(..*length).and_then(|p| text_index.prefixes.get(p)) {
                    mark(rules);
                }
            }
        }
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        let table = |t: &HashMap<Arc<str>, Vec<u32>>| {
            t.iter().map(|(k, r)| 64 + k.len() + 4 * r.capacity()).sum::<usize>()
        };
        let of = |a: &TextIndex| table(&a.equals) + table(&a.prefixes) + 8 * a.lengths.len();
        self.text_indexes.iter().map(of).sum::<usize>() + 8 * self.always_evaluated.len()
    }
}

fn is_set(bits: &[u64], n: u32) -> bool {
    bits[n as usize / 64] >> (n % 64) & 1 == 1
}

/// For each alternative of a condition the ways to find it.
fn lookup_keys(pool: &Pool, condition: TermId) -> Vec<Vec<LookupKey>> {
    let of = |part: TermId| {
        let among = allowed_texts(pool, part).map(|(of, texts)| LookupKey::OneOf(of, texts));
        among.or_else(|| required_prefix(pool, part).map(|(of, text)| LookupKey::Prefix(of, text)))
    };
    let alternatives = disjuncts(pool, condition);
    alternatives.into_iter().map(|a| conjuncts(pool, a).into_iter().filter_map(of).collect()).collect()
}
