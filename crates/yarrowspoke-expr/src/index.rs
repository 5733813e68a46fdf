//! Index from constant texts to the rules that may hold, so that not every rule is evaluated.
//!
//! A condition is indexed by one of its parts: a text that must equal one of several constants, or start with one. All
//! rules indexed by the same text share one lookup. A condition without such a part is evaluated for every request.

use crate::bounds;
use crate::logic::{allowed_texts, conjuncts, disjuncts, required_prefix};
use crate::program::{CompiledExpr, Compiler, Machine, Program, Value};
use crate::request::Request;
use crate::terms::{Pool, TermId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Lookup by which one part of a condition is indexed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LookupKey {
    OneOf(TermId, Vec<Arc<str>>),
    Prefix(TermId, Arc<str>),
}

impl LookupKey {
    fn text_term(&self) -> TermId {
        match self {
            Self::OneOf(operand, _) | Self::Prefix(operand, _) => *operand,
        }
    }

    fn constants(&self) -> &[Arc<str>] {
        match self {
            Self::OneOf(_, texts) => texts,
            Self::Prefix(_, text) => std::slice::from_ref(text),
        }
    }
}

/// Rules indexed by the value of one text term.
struct TextIndex {
    value: CompiledExpr,
    /// Maximum length of the text in bytes.
    max_bytes: usize,
    equals: HashMap<Arc<str>, Vec<u32>>,
    longest: usize,
    prefixes: HashMap<Arc<str>, Vec<u32>>,
    /// Lengths of the prefixes, in ascending order.
    lengths: Vec<usize>,
    /// Maximum number of steps of all rules that one value selects.
    max_match_cost: u64,
    /// Description of that value and its rules.
    costliest_match: String,
}

impl TextIndex {
    /// Returns the steps of the lookups for a text of `bytes` bytes.
    fn cost(&self, bytes: usize) -> u64 {
        let equals = if self.equals.is_empty() { 0 } else { bounds::lookup_cost(bytes.min(self.longest)) };
        let lengths = self.lengths.iter().take_while(|l| **l <= bytes);
        equals + lengths.map(|l| bounds::lookup_cost(*l)).sum::<u64>() + 1
    }
}

/// Index of a set of rules.
pub struct Index {
    text_indexes: Vec<TextIndex>,
    /// Bitmap of the rules that are evaluated for every request.
    always_evaluated: Vec<u64>,
    /// Number of rules that are evaluated for every request.
    pub unindexed: usize,
    /// Maximum number of steps for a request, without the actions of rules.
    pub cost: u64,
    /// Description of the part that contributes most to the cost.
    pub costliest: String,
}

impl Index {
    /// Builds the index of `conditions`. `rule_costs` are the steps to evaluate each rule once it is selected.
    pub fn build(
        pool: &Pool,
        conditions: &[TermId],
        rule_costs: &[u64],
        names: &[&str],
        compiler: &mut Compiler,
    ) -> Self {
        let lookup_keys: Vec<Vec<Vec<LookupKey>>> =
            conditions.iter().map(|c| lookup_keys(pool, *c)).collect();
        // Total steps of the rules that each constant selects. The lower it is, the more selective is the constant.
        let mut costs_by_key: HashMap<(TermId, &str, bool), u64> = HashMap::new();
        for (rule_index, lookup_key) in
            lookup_keys.iter().enumerate().flat_map(|(n, w)| w.iter().flatten().map(move |w| (n, w)))
        {
            for key in lookup_key.constants() {
                *costs_by_key
                    .entry((lookup_key.text_term(), key, matches!(lookup_key, LookupKey::OneOf(..))))
                    .or_default() += rule_costs[rule_index];
            }
        }
        let mut chosen: BTreeMap<TermId, Vec<(u32, &LookupKey)>> = BTreeMap::new();
        let mut always_evaluated = vec![0u64; conditions.len().div_ceil(64)];
        let mut unindexed = 0;
        for (rule_index, alternatives) in lookup_keys.iter().enumerate() {
            let mut chosen_keys = Vec::new();
            for alternative in alternatives {
                let candidate_cost = |lookup_key: &&LookupKey| {
                    let by_equality = matches!(lookup_key, LookupKey::OneOf(..));
                    let keys = lookup_key.constants().iter();
                    let max_cost = keys
                        .map(|k| {
                            costs_by_key
                                .get(&(lookup_key.text_term(), k.as_ref(), by_equality))
                                .copied()
                                .unwrap_or(0)
                        })
                        .max();
                    let already_read = chosen.contains_key(&lookup_key.text_term());
                    max_cost.unwrap_or(0)
                        + if already_read { 0 } else { pool.facts(lookup_key.text_term()).total_cost }
                };
                chosen_keys.push(alternative.iter().min_by_key(candidate_cost));
            }
            if chosen_keys.is_empty() || chosen_keys.iter().any(Option::is_none) {
                always_evaluated[rule_index / 64] |= 1 << (rule_index % 64);
                unindexed += 1;
                continue;
            }
            for lookup_key in chosen_keys.into_iter().flatten() {
                chosen.entry(lookup_key.text_term()).or_default().push((rule_index as u32, lookup_key));
            }
        }
        let costliest_rule = |rules: &[u32]| {
            rules.iter().max_by_key(|r| rule_costs[**r as usize]).map_or("", |r| names[*r as usize])
        };
        let mut text_indexes = Vec::new();
        for (text_term, selected) in chosen {
            let mut equals: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
            let mut prefixes: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
            for (rule, lookup_key) in selected {
                let table =
                    if matches!(lookup_key, LookupKey::OneOf(..)) { &mut equals } else { &mut prefixes };
                for key in lookup_key.constants() {
                    let rules = table.entry(Arc::clone(key)).or_default();
                    if rules.last() != Some(&rule) {
                        rules.push(rule);
                    }
                }
            }
            let lengths: BTreeSet<usize> = prefixes.keys().map(|p| p.len()).collect();
            let lengths: Vec<usize> = lengths.into_iter().collect();
            let total_cost = |rules: &Vec<u32>| rules.iter().map(|r| rule_costs[*r as usize]).sum::<u64>();
            // The prefixes that a text matches are exactly the prefixes of the longest one that it matches.
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
                            pool.describe(text_term),
                            key,
                            costliest_rule(rules)
                        ),
                    )
                });
            let longest = equals.keys().map(|k| k.len()).max().unwrap_or(0);
            let max_bytes = pool.facts(text_term).max_bytes;
            let value = compiler.compile(text_term);
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
        let bitmap_words = always_evaluated.len() as u64;
        let always_evaluated_rules: Vec<u32> = (0..conditions.len() as u32)
            .filter(|rule_index| is_set(&always_evaluated, *rule_index))
            .collect();
        let always_evaluated_cost: u64 = always_evaluated_rules.iter().map(|r| rule_costs[*r as usize]).sum();
        let indexed_cost: u64 =
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
            cost: indexed_cost + always_evaluated_cost + 2 * bitmap_words,
            costliest,
        }
    }

    /// Sets the bits of all rules that may hold.
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
            // If the text has no value, none of the rules indexed by it can hold.
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

    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        let table_bytes = |t: &HashMap<Arc<str>, Vec<u32>>| {
            t.iter().map(|(k, r)| 64 + k.len() + 4 * r.capacity()).sum::<usize>()
        };
        let text_index_bytes =
            |a: &TextIndex| table_bytes(&a.equals) + table_bytes(&a.prefixes) + 8 * a.lengths.len();
        self.text_indexes.iter().map(text_index_bytes).sum::<usize>() + 8 * self.always_evaluated.len()
    }
}

fn is_set(bits: &[u64], rule: u32) -> bool {
    bits[rule as usize / 64] >> (rule % 64) & 1 == 1
}

/// Returns, for each alternative of a condition, the lookups by which it can be indexed.
fn lookup_keys(pool: &Pool, condition: TermId) -> Vec<Vec<LookupKey>> {
    let lookup_key_of = |part: TermId| {
        let by_equality =
            allowed_texts(pool, part).map(|(lookup_key_of, texts)| LookupKey::OneOf(lookup_key_of, texts));
        by_equality.or_else(|| {
            required_prefix(pool, part).map(|(lookup_key_of, text)| LookupKey::Prefix(lookup_key_of, text))
        })
    };
    let alternatives = disjuncts(pool, condition);
    alternatives
        .into_iter()
        .map(|a| conjuncts(pool, a).into_iter().filter_map(lookup_key_of).collect())
        .collect()
}
