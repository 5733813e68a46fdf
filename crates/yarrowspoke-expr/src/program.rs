//! Flat programs, and the machine that runs them.
//!
//! A program is a list of operations with jumps that only go forward, so each operation runs at most once: the sum of
//! their prices bounds the work. Nothing is counted while requests are served; [`Machine::run`] with `COUNTED` adds up
//! what was in fact done, in the same units, so that tests can hold it against the bound.

use crate::bounds::{self, MAX_BUILT_BYTES};
use crate::regexes::Regexes;
use crate::request::{Request, Segments, Slice, Source};
use crate::terms::{Affix, Const, Field, Math, Pool, Term, TermId, Type};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

/// A value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// An optional value that is not there.
    Absent,
    /// `true` or `false`.
    Bool(bool),
    /// A number, or microseconds.
    Int(i64),
    /// A text.
    Text(Slice),
}

#[derive(Clone, Copy, Debug)]
enum Code {
    Bool(bool),
    Int(i64),
    Text(u32),
    Field(Field),
    Header(u16),
    Query(u32),
    Segment(u8),
    SegmentCount,
    Eq,
    Less,
    LessEq,
    Not,
    /// Keeps the value and jumps if it is so, else drops it.
    JumpIf(bool, u32),
    /// Drops the value and jumps if it is false.
    Unless(u32),
    /// Drops an absent value, else jumps.
    IfThere(u32),
    Jump(u32),
    Math(Math),
    Concat(u32),
    Affix(Affix),
    Matches(u32),
    Size,
    OneOf(u32),
    InSegments,
    Has,
    Hash,
    ToInt,
    Lower,
    /// Jumps with the value if it is known for this request.
    Known(u32, u32),
    /// Remembers the value for this request.
    Keep(u32),
}

/// A piece of a program that yields one value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    from: u32,
    to: u32,
    /// Most steps that it takes.
    pub cost: u64,
}

/// The operations of a set, flat.
pub struct Program {
    code: Vec<Code>,
    texts: Vec<Arc<str>>,
    lists: Vec<Arc<[Const]>>,
    /// The patterns.
    pub regexes: Regexes,
    memos: u32,
    stack: usize,
    /// Whether any operation asks for segments.
    pub segmented: bool,
}

/// Turns terms into operations.
pub struct Compiler<'a> {
    pool: &'a Pool,
    uses: &'a [u32],
    program: Program,
    memo: HashMap<TermId, u32>,
    texts: HashMap<Arc<str>, u32>,
    depth: usize,
}

/// Steps from which a test that several rules share is remembered.
const WORTH_KEEPING: u64 = 6;

impl<'a> Compiler<'a> {
    /// A compiler of terms of `pool`, of which each is used so often.
    pub fn new(pool: &'a Pool, uses: &'a [u32], regexes: Regexes) -> Self {
        let program = Program {
            code: Vec::new(),
            texts: Vec::new(),
            lists: Vec::new(),
            regexes,
            memos: 0,
            stack: 0,
            segmented: false,
        };
        Self { pool, uses, program, memo: HashMap::new(), texts: HashMap::new(), depth: 0 }
    }

    /// The finished program.
    pub fn finish(mut self) -> Program {
        self.program.code.shrink_to_fit();
        self.program
    }

    /// Compiles one term.
    pub fn part(&mut self, id: TermId) -> Part {
        let from = self.program.code.len() as u32;
        self.depth = 0;
        let cost = self.put(id);
        Part { from, to: self.program.code.len() as u32, cost }
    }

    fn emit(&mut self, code: Code) -> usize {
        self.program.code.push(code);
        self.program.code.len() - 1
    }

    fn push(&mut self, code: Code) {
        self.emit(code);
        self.depth += 1;
        self.program.stack = self.program.stack.max(self.depth);
    }

    fn here(&self) -> u32 {
        self.program.code.len() as u32
    }

    fn text(&mut self, text: &Arc<str>) -> u32 {
        let all = &mut self.program.texts;
        *self.texts.entry(Arc::clone(text)).or_insert_with(|| {
            all.push(Arc::clone(text));
            all.len() as u32 - 1
        })
    }

    /// Emits a term; most steps of what was emitted.
    fn put(&mut self, id: TermId) -> u64 {
        let facts = *self.pool.facts(id);
        let shared = self.uses[id as usize] > 1 && facts.ty == Type::Bool && facts.whole >= WORTH_KEEPING;
        if !shared {
            return self.put_bare(id);
        }
        let memos = &mut self.program.memos;
        let slot = *self.memo.entry(id).or_insert_with(|| {
            *memos += 1;
            *memos - 1
        });
        let known = self.emit(Code::Known(slot, 0));
        let cost = self.put_bare(id);
        self.emit(Code::Keep(slot));
        self.program.code[known] = Code::Known(slot, self.here());
        cost + 2
    }

    fn all(&mut self, parts: &[TermId]) -> u64 {
        parts.iter().map(|p| self.put(*p)).sum()
    }

    fn put_bare(&mut self, id: TermId) -> u64 {
        let own = self.pool.facts(id).own;
        match self.pool.term(id).clone() {
            Term::Bool(b) => self.push(Code::Bool(b)),
            Term::Int(n, _) => self.push(Code::Int(n)),
            Term::Text(t) => {
                let text = self.text(&t);
                self.push(Code::Text(text));
            }
            Term::Field(field) => self.push(Code::Field(field)),
            Term::Header(n) => self.push(Code::Header(n)),
            Term::Query(name) => {
                let name = self.text(&name);
                self.push(Code::Query(name));
            }
            Term::Segment(n) => {
                self.program.segmented = true;
                self.push(Code::Segment(n));
            }
            Term::SegmentCount => {
                self.program.segmented = true;
                self.push(Code::SegmentCount);
            }
            Term::And(parts) | Term::Or(parts) => {
                let holds = matches!(self.pool.term(id), Term::Or(_));
                let mut cost = own;
                let mut jumps = Vec::new();
                for (n, part) in parts.iter().enumerate() {
                    if n > 0 {
                        jumps.push(self.emit(Code::JumpIf(holds, 0)));
                        self.depth -= 1;
                    }
                    cost += self.put(*part);
                }
                for jump in jumps {
                    self.program.code[jump] = Code::JumpIf(holds, self.here());
                }
                return cost;
            }
            Term::Choice(test, yes, no) => {
                let mut cost = own + self.put(test);
                let unless = self.emit(Code::Unless(0));
                self.depth -= 1;
                cost += self.put(yes);
                let jump = self.emit(Code::Jump(0));
                self.depth -= 1;
                self.program.code[unless] = Code::Unless(self.here());
                cost += self.put(no);
                self.program.code[jump] = Code::Jump(self.here());
                return cost;
            }
            Term::OrValue(of, other) => {
                let mut cost = own + self.put(of);
                let there = self.emit(Code::IfThere(0));
                self.depth -= 1;
                cost += self.put(other);
                self.program.code[there] = Code::IfThere(self.here());
                return cost;
            }
            Term::Eq(a, b) => return own + self.two(a, b, Code::Eq),
            Term::Less(a, b) => return own + self.two(a, b, Code::Less),
            Term::LessEq(a, b) => return own + self.two(a, b, Code::LessEq),
            Term::Math(math, a, b) => return own + self.two(a, b, Code::Math(math)),
            Term::Affix(affix, a, b) => return own + self.two(a, b, Code::Affix(affix)),
            Term::Not(a) => return own + self.one(a, Code::Not),
            Term::Matches(a, regex) => return own + self.one(a, Code::Matches(regex)),
            Term::Size(a) => return own + self.one(a, Code::Size),
            Term::InSegments(a) => return own + self.one(a, Code::InSegments),
            Term::Has(a) => return own + self.one(a, Code::Has),
            Term::Hash(a) => return own + self.one(a, Code::Hash),
            Term::ToInt(a) => return own + self.one(a, Code::ToInt),
            Term::Lower(a) => return own + self.one(a, Code::Lower),
            Term::OneOf(a, list) => {
                self.program.lists.push(list);
                let list = self.program.lists.len() as u32 - 1;
                return own + self.one(a, Code::OneOf(list));
            }
            Term::Concat(parts) => {
                let cost = own + self.all(&parts);
                self.emit(Code::Concat(parts.len() as u32));
                self.depth -= parts.len() - 1;
                return cost;
            }
        }
        own
    }

    fn one(&mut self, a: TermId, code: Code) -> u64 {
        let cost = self.put(a);
        self.emit(code);
        cost
    }

    fn two(&mut self, a: TermId, b: TermId, code: Code) -> u64 {
        let cost = self.put(a) + self.put(b);
        self.emit(code);
        self.depth -= 1;
        cost
    }
}

impl Program {
    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        let texts = self.texts.iter().map(|t| t.len() + 16).sum::<usize>();
        let entry = |c: &Const| if let Const::Text(t) = c { t.len() + 32 } else { 24 };
        let lists = self.lists.iter().flat_map(|l| l.iter()).map(entry).sum::<usize>();
        let regexes = self.regexes.all.iter().map(|r| r.bytes()).sum::<usize>();
        self.code.len() * size_of::<Code>() + texts + lists + regexes + 16 * self.memos as usize
    }
}

/// What running needs, kept from one request to the next so that nothing is allocated.
pub struct Machine {
    stack: Vec<Value>,
    memo: Vec<(u64, Value)>,
    round: u64,
    built: String,
    segments: Segments,
    /// Steps counted for the present request.
    pub steps: u64,
}

/// No value: an overflow, or a division by zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoValue;

impl Machine {
    /// A machine for one program.
    pub fn new(program: &Program) -> Self {
        Self {
            stack: Vec::with_capacity(program.stack + 1),
            memo: vec![(0, Value::Absent); program.memos as usize],
            round: 0,
            built: String::with_capacity(MAX_BUILT_BYTES),
            segments: Segments::default(),
            steps: 0,
        }
    }

    /// Begins with another request: what is known of the one before is forgotten.
    pub fn begin(&mut self, program: &Program, request: &Request) {
        self.round += 1;
        self.steps = 0;
        if program.segmented {
            self.segments.of(request.path());
        }
    }

    /// A text that [`Machine::run`] gave, until it runs again.
    pub fn text<'t>(&'t self, program: &'t Program, request: &Request<'t>, slice: Slice) -> &'t str {
        text_of(program, &self.built, request, slice)
    }

    /// Runs a part. With `COUNTED` the steps in fact taken are added to [`Machine::steps`].
    pub fn run<const COUNTED: bool>(
        &mut self,
        program: &Program,
        part: Part,
        request: &Request,
    ) -> Result<Value, NoValue> {
        let Self { stack, memo, round, built, segments, steps } = self;
        stack.clear();
        built.clear();
        let mut at = part.from as usize;
        let end = part.to as usize;
        // Types were seen to at load: what would be a wrong one counts as no value.
        macro_rules! pop {
            () => {
                stack.pop().ok_or(NoValue)?
            };
            ($kind:ident) => {
                match stack.pop() {
                    Some(Value::$kind(x)) => x,
                    _ => return Err(NoValue),
                }
            };
        }
        macro_rules! text {
            ($slice:expr) => {
                text_of(program, built, request, $slice)
            };
        }
        macro_rules! pay {
            ($steps:expr) => {
                if COUNTED {
                    *steps += $steps;
                }
            };
        }
        while at < end {
            let code = program.code[at];
            at += 1;
            match code {
                Code::Bool(b) => {
                    pay!(1);
                    stack.push(Value::Bool(b));
                }
                Code::Int(n) => {
                    pay!(1);
                    stack.push(Value::Int(n));
                }
                Code::Text(n) => {
                    pay!(1);
                    let bytes = program.texts[n as usize].len();
                    stack.push(Value::Text(Slice::whole(Source::Const(n), bytes)));
                }
                Code::Field(field) => {
                    pay!(if field == Field::Key { bounds::scan(request.target.len()) } else { 1 });
                    stack.push(match field {
                        Field::Budget => Value::Int(request.budget),
                        Field::Length => Value::Int(request.length),
                        Field::Repeat => Value::Bool(request.repeat),
                        Field::Hint => request.hint.map_or(Value::Absent, Value::Int),
                        Field::Key => request.query("key").map_or(Value::Absent, Value::Text),
                        _ => Value::Text(request.field(field)),
                    });
                }
                Code::Header(n) => {
                    pay!(1);
                    let value = request.headers.get(usize::from(n)).and_then(|h| h.as_ref());
                    stack
                        .push(value.map_or(Value::Absent, |h| {
                            Value::Text(Slice::whole(Source::Header(n), h.len()))
                        }));
                }
                Code::Query(name) => {
                    pay!(bounds::scan(request.target.len()));
                    let found = request.query(&program.texts[name as usize]);
                    stack.push(found.map_or(Value::Absent, Value::Text));
                }
                Code::Segment(n) => {
                    pay!(1);
                    stack.push(segments.get(usize::from(n)).map_or(Value::Absent, Value::Text));
                }
                Code::SegmentCount => {
                    pay!(1);
                    stack.push(Value::Int(segments.count as i64));
                }
                Code::Eq => {
                    let (b, a) = (pop!(), pop!());
                    let same = match (a, b) {
                        (Value::Text(a), Value::Text(b)) => {
                            pay!(bounds::compare(a.bytes(), b.bytes()));
                            text!(a) == text!(b)
                        }
                        _ => {
                            pay!(1);
                            a == b
                        }
                    };
                    stack.push(Value::Bool(same));
                }
                Code::Less | Code::LessEq => {
                    let (b, a) = (pop!(), pop!());
                    let order = match (a, b) {
                        (Value::Text(a), Value::Text(b)) => {
                            pay!(bounds::compare(a.bytes(), b.bytes()));
                            text!(a).cmp(text!(b))
                        }
                        (Value::Int(a), Value::Int(b)) => {
                            pay!(1);
                            a.cmp(&b)
                        }
                        _ => return Err(NoValue),
                    };
                    let holds = order.is_lt() || matches!(code, Code::LessEq) && order.is_eq();
                    stack.push(Value::Bool(holds));
                }
                Code::Not => {
                    pay!(1);
                    let b = pop!(Bool);
                    stack.push(Value::Bool(!b));
                }
                Code::JumpIf(holds, to) => {
                    pay!(1);
                    if stack.last() == Some(&Value::Bool(holds)) {
                        at = to as usize;
                    } else {
                        stack.pop();
                    }
                }
                Code::Unless(to) => {
                    pay!(1);
                    if !pop!(Bool) {
                        at = to as usize;
                    }
                }
                Code::IfThere(to) => {
                    pay!(1);
                    if stack.last() == Some(&Value::Absent) {
                        stack.pop();
                    } else {
                        at = to as usize;
                    }
                }
                Code::Jump(to) => {
                    pay!(1);
                    at = to as usize;
                }
                Code::Math(math) => {
                    pay!(1);
                    let (b, a) = (pop!(Int), pop!(Int));
                    stack.push(Value::Int(math.of(a, b).ok_or(NoValue)?));
                }
                Code::Concat(n) => {
                    let from = stack.len().checked_sub(n as usize).ok_or(NoValue)?;
                    let begun = built.len();
                    for part in &stack[from..] {
                        let Value::Text(slice) = *part else { return Err(NoValue) };
                        if slice.source == Source::Built {
                            built.extend_from_within(slice.from as usize..slice.to as usize);
                        } else {
                            let text = text_of(program, "", request, slice);
                            built.push_str(text);
                        }
                    }
                    pay!(u64::from(n) + bounds::chunks(built.len() - begun));
                    stack.truncate(from);
                    stack.push(built_since(built, begun));
                }
                Code::Affix(affix) => {
                    let (b, a) = (pop!(Text), pop!(Text));
                    let (of, by) = (text!(a), text!(b));
                    let holds = match affix {
                        Affix::Starts => of.starts_with(by),
                        Affix::Ends => of.ends_with(by),
                        Affix::Holds => memchr::memmem::find(of.as_bytes(), by.as_bytes()).is_some(),
                    };
                    pay!(match affix {
                        Affix::Holds => bounds::scan(of.len() + by.len()),
                        _ => bounds::compare(of.len(), by.len()),
                    });
                    stack.push(Value::Bool(holds));
                }
                Code::Matches(regex) => {
                    let of = pop!(Text);
                    let (found, read) = program.regexes.all[regex as usize].finds(text!(of).as_bytes());
                    pay!(bounds::scan(read));
                    stack.push(Value::Bool(found));
                }
                Code::Size => {
                    pay!(1);
                    let of = pop!(Text);
                    stack.push(Value::Int(of.bytes() as i64));
                }
                Code::OneOf(list) => {
                    let of = pop!();
                    let list = &program.lists[list as usize];
                    let (found, met) = match of {
                        Value::Int(n) => (list.binary_search(&Const::Int(n)).is_ok(), 0),
                        Value::Text(slice) => {
                            let text = text!(slice);
                            let by = |c: &Const| match c {
                                Const::Text(t) => t.as_ref().cmp(text),
                                Const::Int(_) => std::cmp::Ordering::Less,
                            };
                            (list.binary_search_by(by).is_ok(), text.len())
                        }
                        _ => return Err(NoValue),
                    };
                    if COUNTED {
                        let longest = list.iter().map(|c| if let Const::Text(t) = c { t.len() } else { 0 });
                        pay!(bounds::search(list.len(), longest.max().unwrap_or(0), met));
                    }
                    stack.push(Value::Bool(found));
                }
                Code::InSegments => {
                    let of = pop!(Text);
                    let (text, path) = (text!(of), request.path());
                    let inner = path.strip_prefix('/').unwrap_or(path);
                    pay!(2 * bounds::scan(path.len()) + bounds::chunks(of.bytes()));
                    stack.push(Value::Bool(inner.split('/').any(|s| s == text)));
                }
                Code::Has => {
                    pay!(1);
                    let of = pop!();
                    stack.push(Value::Bool(of != Value::Absent));
                }
                Code::Hash => {
                    let of = pop!(Text);
                    pay!(bounds::lookup(of.bytes()));
                    stack.push(Value::Int(hash(text!(of))));
                }
                Code::ToInt => {
                    let of = pop!(Text);
                    pay!(bounds::scan(of.bytes().min(bounds::MAX_INT_BYTES)));
                    stack.push(to_int(text!(of)).map_or(Value::Absent, Value::Int));
                }
                Code::Lower => {
                    let of = pop!(Text);
                    pay!(bounds::scan(of.bytes()));
                    let begun = built.len();
                    if of.source == Source::Built {
                        built.extend_from_within(of.from as usize..of.to as usize);
                    } else {
                        built.push_str(text_of(program, "", request, of));
                    }
                    built[begun..].make_ascii_lowercase();
                    stack.push(built_since(built, begun));
                }
                Code::Known(slot, to) => {
                    pay!(1);
                    let (of, value) = memo[slot as usize];
                    if of == *round {
                        stack.push(value);
                        at = to as usize;
                    }
                }
                Code::Keep(slot) => {
                    pay!(1);
                    if let Some(value) = stack.last() {
                        memo[slot as usize] = (*round, *value);
                    }
                }
            }
        }
        stack.pop().ok_or(NoValue)
    }
}

fn built_since(built: &str, begun: usize) -> Value {
    Value::Text(Slice { source: Source::Built, from: begun as u32, to: built.len() as u32 })
}

fn text_of<'t>(program: &'t Program, built: &'t str, request: &Request<'t>, slice: Slice) -> &'t str {
    let whole = match slice.source {
        Source::Const(n) => program.texts.get(n as usize).map_or("", |t| t.as_ref()),
        Source::Method => request.method,
        Source::Target => request.target,
        Source::Class => request.class,
        Source::Tenant => request.tenant,
        Source::Header(n) => request.headers.get(usize::from(n)).and_then(|h| h.as_deref()).unwrap_or(""),
        Source::Built => built,
    };
    whole.get(slice.from as usize..slice.to as usize).unwrap_or("")
}

/// The language's `hash`: SipHash 1-3 with keys of zero, cut to 63 bits, the same at every front and in every run.
pub fn hash(text: &str) -> i64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    (hasher.finish() >> 1) as i64
}

/// The language's `int`: digits, with a sign before them or none.
pub fn to_int(text: &str) -> Option<i64> {
    if text.len() > bounds::MAX_INT_BYTES {
        return None;
    }
    text.parse().ok()
}
