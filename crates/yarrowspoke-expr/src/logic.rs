//! Static analysis of conditions: which can never hold, and which are shadowed by an earlier rule.

use crate::terms::{Const, Pool, ScalarType, Term, TermId, TextTest};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Maximum number of pairs of rules that are compared. Without it, a file of thousands of similar rules would take
/// minutes to load.
const MAX_COMPARED_PAIRS: usize = 4_000_000;

/// Returns the parts of a condition that must all hold.
pub fn conjuncts(pool: &Pool, id: TermId) -> Vec<TermId> {
    match pool.term(id) {
        Term::And(parts) => parts.clone(),
        Term::Bool(true) => vec![],
        _ => vec![id],
    }
}

/// Returns the parts of a condition of which one must hold.
pub fn disjuncts(pool: &Pool, id: TermId) -> Vec<TermId> {
    match pool.term(id) {
        Term::Or(parts) => parts.clone(),
        _ => vec![id],
    }
}

/// If a part restricts a text to a list of constants, returns the text and the constants.
pub fn allowed_texts(pool: &Pool, id: TermId) -> Option<(TermId, Vec<Arc<str>>)> {
    match pool.term(id) {
        Term::Eq(operand, text) => match pool.term(*text) {
            Term::Text(t) => Some((*operand, vec![Arc::clone(t)])),
            _ => None,
        },
        Term::OneOf(operand, all) => {
            let text = |c: &Const| if let Const::Text(t) = c { Some(Arc::clone(t)) } else { None };
            Some((*operand, all.iter().map(text).collect::<Option<_>>()?))
        }
        _ => None,
    }
}

/// If a part requires a text to start with a constant, returns the text and the prefix.
pub fn required_prefix(pool: &Pool, id: TermId) -> Option<(TermId, Arc<str>)> {
    match pool.term(id) {
        Term::TextTest(TextTest::StartsWith, operand, by) => match pool.term(*by) {
            Term::Text(t) => Some((*operand, Arc::clone(t))),
            _ => None,
        },
        _ => None,
    }
}

/// If a part restricts a number to a range, returns the number and the inclusive bounds.
fn allowed_range(pool: &Pool, id: TermId) -> Option<(TermId, i64, i64)> {
    let int = |id: &TermId| if let Term::Int(n, _) = pool.term(*id) { Some(*n) } else { None };
    match pool.term(id) {
        Term::Eq(operand, n) => int(n).map(|n| (*operand, n, n)),
        Term::Less(a, b) => match (int(a), int(b)) {
            (None, Some(n)) => Some((*a, i64::MIN, n.saturating_sub(1))),
            (Some(n), None) => Some((*b, n.saturating_add(1), i64::MAX)),
            _ => None,
        },
        Term::LessEq(a, b) => match (int(a), int(b)) {
            (None, Some(n)) => Some((*a, i64::MIN, n)),
            (Some(n), None) => Some((*b, n, i64::MAX)),
            _ => None,
        },
        Term::OneOf(operand, all) => {
            let numbers = all.iter().map(|c| if let Const::Int(n) = c { Some(*n) } else { None });
            let numbers = numbers.collect::<Option<Vec<i64>>>()?;
            Some((*operand, *numbers.iter().min()?, *numbers.iter().max()?))
        }
        _ => None,
    }
}

/// Returns whether a condition can never hold, as far as its constants show.
pub fn is_never_true(pool: &Pool, id: TermId) -> bool {
    disjuncts(pool, id).iter().all(|part| {
        let all = conjuncts(pool, *part);
        let has: BTreeSet<TermId> = all.iter().copied().collect();
        let mut allowed: HashMap<TermId, Vec<Arc<str>>> = HashMap::new();
        let mut ranges: HashMap<TermId, (i64, i64)> = HashMap::new();
        for id in &all {
            match pool.term(*id) {
                Term::Bool(false) => return true,
                Term::Not(operand) if has.contains(operand) => return true,
                _ => {}
            }
            if let Some((operand, texts)) = allowed_texts(pool, *id) {
                let texts = match allowed.get(&operand) {
                    Some(known) => known.iter().filter(|t| texts.contains(t)).cloned().collect(),
                    None => texts,
                };
                if texts.is_empty() {
                    return true;
                }
                allowed.insert(operand, texts);
            }
            if let Some((operand, min, max)) = allowed_range(pool, *id) {
                let known = ranges.entry(operand).or_insert((i64::MIN, i64::MAX));
                *known = (known.0.max(min), known.1.min(max));
                if known.0 > known.1 {
                    return true;
                }
            }
        }
        // Compares the texts that are allowed with the required prefixes and the excluded texts.
        all.iter().any(|id| {
            if let Some((operand, prefix)) = required_prefix(pool, *id) {
                return allowed
                    .get(&operand)
                    .is_some_and(|texts| !texts.iter().any(|t| t.starts_with(prefix.as_ref())));
            }
            let Term::Not(not) = pool.term(*id) else { return false };
            let Some((operand, excluded)) = allowed_texts(pool, *not) else { return false };
            allowed.get(&operand).is_some_and(|texts| texts.iter().all(|t| excluded.contains(t)))
        })
    })
}

/// Returns whether `b` holds whenever `a` holds.
fn implies(pool: &Pool, a: TermId, b: TermId) -> bool {
    if a == b {
        return true;
    }
    let allowed_by_a = allowed_texts(pool, a);
    if let (Some((operand_a, texts_a)), Some((operand_b, texts_b))) = (&allowed_by_a, allowed_texts(pool, b))
    {
        return *operand_a == operand_b && texts_a.iter().all(|t| texts_b.contains(t));
    }
    if let Some((operand_b, prefix)) = required_prefix(pool, b) {
        let by_text = allowed_by_a
            .as_ref()
            .is_some_and(|k| k.0 == operand_b && k.1.iter().all(|t| t.starts_with(&*prefix)));
        let by_prefix = required_prefix(pool, a)
            .is_some_and(|(operand_a, longer)| operand_a == operand_b && longer.starts_with(&*prefix));
        return by_text || by_prefix;
    }
    if let Term::Not(not) = pool.term(b) {
        if let (Some((operand_a, texts_a)), Some((operand_b, excluded))) =
            (&allowed_by_a, allowed_texts(pool, *not))
        {
            return *operand_a == operand_b && !texts_a.iter().any(|t| excluded.contains(t));
        }
    }
    match (allowed_range(pool, a), allowed_range(pool, b)) {
        (Some((operand_a, min, max)), Some((operand_b, min_b, max_b))) => {
            // A list of numbers has gaps, so its range does not imply that every number in it is allowed.
            operand_a == operand_b && min >= min_b && max <= max_b && !matches!(pool.term(b), Term::OneOf(..))
        }
        _ => false,
    }
}

/// Returns whether evaluating a term yields a value for every request.
fn always_has_value(pool: &Pool, id: TermId) -> bool {
    let operator_has_value = match pool.term(id) {
        Term::Arithmetic(_, _, b) => {
            // Division by a constant other than 0 and -1 neither overflows nor fails; only positive constants are
            // considered.
            let safe = matches!(pool.term(*b), Term::Int(n, ScalarType::Int) if *n > 0);
            safe && matches!(
                pool.term(id),
                Term::Arithmetic(crate::terms::ArithmeticOp::Div | crate::terms::ArithmeticOp::Rem, ..)
            )
        }
        _ => true,
    };
    operator_has_value && pool.operands(id).iter().all(|p| always_has_value(pool, *p))
}

/// For each condition, returns the earlier one, if any, that holds whenever it does, so that with "first match" it is
/// never reached. Also returns whether all pairs were compared.
pub fn find_shadowed(pool: &Pool, conditions: &[TermId]) -> (Vec<Option<usize>>, bool) {
    let mut shadowed_by = vec![None; conditions.len()];
    // Earlier conditions, each under one of its parts: by the text that the part tests, or by the part itself.
    let mut rules_by_key: HashMap<(TermId, Option<Arc<str>>), Vec<usize>> = HashMap::new();
    let mut first_always_true: Option<usize> = None;
    let mut compared_pairs = 0;
    for (index, id) in conditions.iter().enumerate() {
        let parts = conjuncts(pool, *id);
        let keys = |part: TermId| -> Vec<(TermId, Option<Arc<str>>)> {
            let text_test = allowed_texts(pool, part);
            let mut keys = vec![(part, None)];
            if let Some((operand, texts)) = &text_test {
                keys.extend(texts.iter().map(|t| (*operand, Some(Arc::clone(t)))));
            }
            if let Some(operand) = text_test.map(|a| a.0).or(required_prefix(pool, part).map(|p| p.0)) {
                keys.push((operand, None));
            } else if let Some((operand, ..)) = allowed_range(pool, part) {
                keys.push((operand, None));
            } else if let Term::Not(operand) = pool.term(part) {
                keys.extend(allowed_texts(pool, *operand).map(|t| (t.0, None)));
            }
            keys
        };
        let mut shadowing = first_always_true;
        'seek: for part in &parts {
            for key in keys(*part) {
                for earlier in rules_by_key.get(&key).into_iter().flatten() {
                    compared_pairs += 1;
                    if compared_pairs > MAX_COMPARED_PAIRS {
                        return (shadowed_by, false);
                    }
                    let earlier_parts = conjuncts(pool, conditions[*earlier]);
                    if earlier_parts.iter().all(|t| parts.iter().any(|p| implies(pool, *p, *t))) {
                        shadowing = Some(*earlier);
                        break 'seek;
                    }
                }
            }
        }
        shadowed_by[index] = shadowing;
        // An earlier condition that sometimes has no value lets those requests reach the later one, so it shadows
        // nothing.
        if shadowing.is_some() || !always_has_value(pool, *id) {
            continue;
        }
        match parts.first() {
            None => first_always_true = first_always_true.or(Some(index)),
            Some(part) => {
                let key = match allowed_texts(pool, *part) {
                    Some((operand, texts)) if texts.len() == 1 => (operand, Some(Arc::clone(&texts[0]))),
                    Some((operand, _)) => (operand, None),
                    None => match pool.term(*part) {
                        Term::Not(operand) => {
                            allowed_texts(pool, *operand).map_or((*part, None), |t| (t.0, None))
                        }
                        _ => required_prefix(pool, *part)
                            .map(|p| p.0)
                            .or(allowed_range(pool, *part).map(|r| r.0))
                            .map_or((*part, None), |operand| (operand, None)),
                    },
                };
                rules_by_key.entry(key).or_default().push(index);
            }
        }
    }
    (shadowed_by, true)
}
