//! Finding the rules that may hold, without looking at each.
//!
//! A condition is found by one of its parts: a text that must be one of some constants, or must begin with one. All
//! rules that are found by the same text share one look-up. What has no such part is looked at for every request.

use crate::bounds;
use crate::logic::{all_of, any_of, prefix, texts};
use crate::program::{Compiler, Machine, Part, Program, Value};
use crate::request::Request;
use crate::terms::{Pool, TermId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// How one part of a condition is found.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Way {
    Among(TermId, Vec<Arc<str>>),
    Begins(TermId, Arc<str>),
}

impl Way {
    fn of(&self) -> TermId {
        match self {
            Self::Among(of, _) | Self::Begins(of, _) => *of,
        }
    }

    fn keys(&self) -> &[Arc<str>] {
        match self {
            Self::Among(_, texts) => texts,
            Self::Begins(_, text) => std::slice::from_ref(text),
        }
    }
}

/// Rules by constants of one text.
struct Access {
    value: Part,
    /// Most bytes of the text.
    most: usize,
    equals: HashMap<Arc<str>, Vec<u32>>,
    longest: usize,
    prefixes: HashMap<Arc<str>, Vec<u32>>,
    /// Lengths of the prefixes.
    lengths: Vec<usize>,
    /// Most steps for all rules found at once.
    worst: u64,
    /// Where that is.
    worst_at: String,
}

impl Access {
    /// Steps of the look-ups for a text of so many bytes.
    fn cost(&self, bytes: usize) -> u64 {
        let equals = if self.equals.is_empty() { 0 } else { bounds::lookup(bytes.min(self.longest)) };
        let lengths = self.lengths.iter().take_while(|l| **l <= bytes);
        equals + lengths.map(|l| bounds::lookup(*l)).sum::<u64>() + 1
    }
}

/// The index of a set.
pub struct Index {
    accesses: Vec<Access>,
    /// Rules that are looked at for every request, as bits.
    rest: Vec<u64>,
    /// How many those are.
    pub unindexed: usize,
    /// Most steps that a request takes, the actions left out.
    pub cost: u64,
    /// What costs most of it, in words.
    pub costliest: String,
}

impl Index {
    /// Builds the index of conditions; `weights` are the steps of each rule once it is found.
    pub fn build(
        pool: &Pool,
        conditions: &[TermId],
        weights: &[u64],
        names: &[&str],
        compiler: &mut Compiler,
    ) -> Self {
        let ways: Vec<Vec<Vec<Way>>> = conditions.iter().map(|c| ways(pool, *c)).collect();
        // Steps of all rules that one constant finds: the fewer, the better it tells them apart.
        let mut crowd: HashMap<(TermId, &str, bool), u64> = HashMap::new();
        for (n, way) in ways.iter().enumerate().flat_map(|(n, w)| w.iter().flatten().map(move |w| (n, w))) {
            for key in way.keys() {
                *crowd.entry((way.of(), key, matches!(way, Way::Among(..)))).or_default() += weights[n];
            }
        }
        let mut chosen: BTreeMap<TermId, Vec<(u32, &Way)>> = BTreeMap::new();
        let mut rest = vec![0u64; conditions.len().div_ceil(64)];
        let mut unindexed = 0;
        for (n, alternatives) in ways.iter().enumerate() {
            let mut picks = Vec::new();
            for alternative in alternatives {
                let candidate_cost = |way: &&Way| {
                    let shared = matches!(way, Way::Among(..));
                    let keys = way.keys().iter();
                    let most =
                        keys.map(|k| crowd.get(&(way.of(), k.as_ref(), shared)).copied().unwrap_or(0)).max();
                    let met = chosen.contains_key(&way.of());
                    most.unwrap_or(0) + if met { 0 } else { pool.facts(way.of()).whole }
                };
                picks.push(alternative.iter().min_by_key(candidate_cost));
            }
            if picks.is_empty() || picks.iter().any(Option::is_none) {
                rest[n / 64] |= 1 << (n % 64);
                unindexed += 1;
                continue;
            }
            for way in picks.into_iter().flatten() {
                chosen.entry(way.of()).or_default().push((n as u32, way));
            }
        }
        let named = |rules: &[u32]| {
            rules.iter().max_by_key(|r| weights[**r as usize]).map_or("", |r| names[*r as usize])
        };
        let mut accesses = Vec::new();
        for (of, found) in chosen {
            let mut equals: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
            let mut prefixes: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
            for (rule, way) in found {
                let to = if matches!(way, Way::Among(..)) { &mut equals } else { &mut prefixes };
                for key in way.keys() {
                    let rules = to.entry(Arc::clone(key)).or_default();
                    if rules.last() != Some(&rule) {
                        rules.push(rule);
                    }
                }
            }
            let lengths: BTreeSet<usize> = prefixes.keys().map(|p| p.len()).collect();
            let lengths: Vec<usize> = lengths.into_iter().collect();
            let weigh = |rules: &Vec<u32>| rules.iter().map(|r| weights[*r as usize]).sum::<u64>();
            // Any text that meets a prefix meets just the prefixes of the longest one that it meets.
            let begins = |text: &str| {
                let lengths = lengths.iter().filter_map(|l| text.get(..*l));
                lengths.filter_map(|p| prefixes.get(p)).map(weigh).sum::<u64>()
            };
            let of_equals = equals.iter().map(|(k, r)| (weigh(r) + begins(k), k, r));
            let of_prefixes = prefixes.iter().map(|(k, r)| (begins(k), k, r));
            let worst = of_equals.chain(of_prefixes).max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)));
            let (worst, worst_at) = worst.map_or((0, String::new()), |(w, k, r)| {
                let all = r.len();
                (
                    w,
                    format!(
                        "{} at {:?}: {w} steps for {all} rules, the dearest {}",
                        pool.put(of),
                        k,
                        named(r)
                    ),
                )
            });
            let longest = equals.keys().map(|k| k.len()).max().unwrap_or(0);
            let most = pool.facts(of).most;
            let value = compiler.part(of);
            accesses.push(Access { value, most, equals, longest, prefixes, lengths, worst, worst_at });
        }
        let words = rest.len() as u64;
        let of_rest: Vec<u32> = (0..conditions.len() as u32).filter(|n| has(&rest, *n)).collect();
        let rest_cost: u64 = of_rest.iter().map(|r| weights[*r as usize]).sum();
        let found: u64 = accesses.iter().map(|a| a.value.cost + a.cost(a.most) + a.worst).sum();
        let mut dear: Vec<(u64, String)> = accesses.iter().map(|a| (a.worst, a.worst_at.clone())).collect();
        let told = format!(
            "rules that no constant text finds: {rest_cost} steps for {unindexed} rules, the dearest {}",
            named(&of_rest)
        );
        dear.push((rest_cost, told));
        let costliest = dear.into_iter().max_by_key(|d| d.0).map_or(String::new(), |d| d.1);
        Self { accesses, rest, unindexed, cost: found + rest_cost + 2 * words, costliest }
    }

    /// Marks in `bits` all rules that may hold.
    pub fn find<const COUNTED: bool>(
        &self,
        program: &Program,
        machine: &mut Machine,
        request: &Request,
        bits: &mut Vec<u64>,
    ) {
        bits.clear();
        bits.extend_from_slice(&self.rest);
        if COUNTED {
            machine.steps += 2 * bits.len() as u64;
        }
        for access in &self.accesses {
            let value = machine.run::<COUNTED>(program, access.value, request);
            // Without a value none of its rules can hold.
            let Ok(Value::Text(slice)) = value else { continue };
            if COUNTED {
                machine.steps += access.cost(slice.bytes());
            }
            let text = machine.text(program, request, slice);
            let mut mark = |rules: &[u32]| {
                for rule in rules {
                    bits[*rule as usize / 64] |= 1 << (rule % 64);
                }
            };
            if text.len() <= access.longest {
                if let Some(rules) = access.equals.get(text) {
                    mark(rules);
                }
            }
            for length in access.lengths.iter().take_while(|l| **l <= text.len()) {
                if let Some(rules) = text.get(..*length).and_then(|p| access.prefixes.get(p)) {
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
        let of = |a: &Access| table(&a.equals) + table(&a.prefixes) + 8 * a.lengths.len();
        self.accesses.iter().map(of).sum::<usize>() + 8 * self.rest.len()
    }
}

fn has(bits: &[u64], n: u32) -> bool {
    bits[n as usize / 64] >> (n % 64) & 1 == 1
}

/// For each alternative of a condition the ways to find it.
fn ways(pool: &Pool, condition: TermId) -> Vec<Vec<Way>> {
    let of = |part: TermId| {
        let among = texts(pool, part).map(|(of, texts)| Way::Among(of, texts));
        among.or_else(|| prefix(pool, part).map(|(of, text)| Way::Begins(of, text)))
    };
    let alternatives = any_of(pool, condition);
    alternatives.into_iter().map(|a| all_of(pool, a).into_iter().filter_map(of).collect()).collect()
}
