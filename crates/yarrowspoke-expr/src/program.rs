//! Compiled programs and the machine that runs them.
//!
//! A program is a list of instructions whose jumps only go forward, so each instruction runs at most once and the sum
//! of their costs bounds the work. Steps are not counted while requests are served; [`Machine::run`] with `COUNTED`
//! counts the steps taken in the same units, so that tests can compare them with the bound.

use crate::bounds::{self, MAX_BUILT_BYTES};
use crate::regexes::Regexes;
use crate::request::{Request, Segments, Slice, TextSource};
use crate::terms::{ArithmeticOp, Const, Field, Pool, Term, TermId, TextTest, Type};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::Arc;

/// Value on the stack of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// Missing optional value.
    Absent,
    /// `true` or `false`.
    Bool(bool),
    /// Integer, or duration in microseconds.
    Int(i64),
    /// Text.
    Text(Slice),
}

#[derive(Clone, Copy, Debug)]
enum Instruction {
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
    /// Keeps the value and jumps if it equals the operand; otherwise drops it.
    JumpIf(bool, u32),
    /// Drops the value and jumps if it was false.
    JumpIfFalse(u32),
    /// Drops the value if it is absent; otherwise jumps.
    JumpIfPresent(u32),
    Jump(u32),
    Arithmetic(ArithmeticOp),
    Concat(u32),
    TextTest(TextTest),
    Matches(u32),
    Size,
    OneOf(u32),
    InSegments,
    Has,
    Hash,
    ToInt,
    LowerAscii,
    /// If the value is memoized for this request, pushes it and jumps.
    LoadMemo(u32, u32),
    /// Memoizes the value for this request.
    StoreMemo(u32),
}

/// Range of a program that yields one value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CompiledExpr {
    from: u32,
    to: u32,
    /// Maximum number of steps to run it.
    pub cost: u64,
}

/// Instructions and constants of a set of rules.
pub struct Program {
    instructions: Vec<Instruction>,
    texts: Vec<Arc<str>>,
    lists: Vec<Arc<[Const]>>,
    /// Regular expressions.
    pub regexes: Regexes,
    memo_slots: u32,
    max_stack: usize,
    /// Whether any instruction reads path segments.
    pub uses_segments: bool,
}

/// Compiles terms to instructions.
pub struct Compiler<'a> {
    pool: &'a Pool,
    uses: &'a [u32],
    program: Program,
    memo: HashMap<TermId, u32>,
    texts: HashMap<Arc<str>, u32>,
    depth: usize,
}

/// Minimum cost in steps of a test shared by several rules from which its result is memoized.
const MIN_MEMO_COST: u64 = 6;

impl<'a> Compiler<'a> {
    /// Creates a compiler of terms of `pool`; `uses` is the number of uses of each term.
    pub fn new(pool: &'a Pool, uses: &'a [u32], regexes: Regexes) -> Self {
        let program = Program {
            instructions: Vec::new(),
            texts: Vec::new(),
            lists: Vec::new(),
            regexes,
            memo_slots: 0,
            max_stack: 0,
            uses_segments: false,
        };
        Self { pool, uses, program, memo: HashMap::new(), texts: HashMap::new(), depth: 0 }
    }

    /// Returns the finished program.
    pub fn finish(mut self) -> Program {
        self.program.instructions.shrink_to_fit();
        self.program
    }

    /// Compiles one term.
    pub fn compile(&mut self, id: TermId) -> CompiledExpr {
        let from = self.program.instructions.len() as u32;
        self.depth = 0;
        let cost = self.emit_term(id);
        CompiledExpr { from, to: self.program.instructions.len() as u32, cost }
    }

    fn emit(&mut self, code: Instruction) -> usize {
        self.program.instructions.push(code);
        self.program.instructions.len() - 1
    }

    fn emit_push(&mut self, code: Instruction) {
        self.emit(code);
        self.depth += 1;
        self.program.max_stack = self.program.max_stack.max(self.depth);
    }

    fn next_address(&self) -> u32 {
        self.program.instructions.len() as u32
    }

    fn text(&mut self, text: &Arc<str>) -> u32 {
        let all = &mut self.program.texts;
        *self.texts.entry(Arc::clone(text)).or_insert_with(|| {
            all.push(Arc::clone(text));
            all.len() as u32 - 1
        })
    }

    /// Emits the instructions of a term and returns their maximum cost in steps.
    fn emit_term(&mut self, id: TermId) -> u64 {
        let facts = *self.pool.facts(id);
        let shared =
            self.uses[id as usize] > 1 && facts.ty == Type::Bool && facts.total_cost >= MIN_MEMO_COST;
        if !shared {
            return self.emit_unmemoized(id);
        }
        let memo_slots = &mut self.program.memo_slots;
        let slot = *self.memo.entry(id).or_insert_with(|| {
            *memo_slots += 1;
            *memo_slots - 1
        });
        let known = self.emit(Instruction::LoadMemo(slot, 0));
        let cost = self.emit_unmemoized(id);
        self.emit(Instruction::StoreMemo(slot));
        self.program.instructions[known] = Instruction::LoadMemo(slot, self.next_address());
        cost + 2
    }

    fn emit_all(&mut self, parts: &[TermId]) -> u64 {
        parts.iter().map(|p| self.emit_term(*p)).sum()
    }

    fn emit_unmemoized(&mut self, id: TermId) -> u64 {
        let own = self.pool.facts(id).own_cost;
        match self.pool.term(id).clone() {
            Term::Bool(b) => self.emit_push(Instruction::Bool(b)),
            Term::Int(n, _) => self.emit_push(Instruction::Int(n)),
            Term::Text(t) => {
                let text = self.text(&t);
                self.emit_push(Instruction::Text(text));
            }
            Term::Field(field) => self.emit_push(Instruction::Field(field)),
            Term::Header(n) => self.emit_push(Instruction::Header(n)),
            Term::Query(name) => {
                let name = self.text(&name);
                self.emit_push(Instruction::Query(name));
            }
            Term::Segment(n) => {
                self.program.uses_segments = true;
                self.emit_push(Instruction::Segment(n));
            }
            Term::SegmentCount => {
                self.program.uses_segments = true;
                self.emit_push(Instruction::SegmentCount);
            }
            Term::And(parts) | Term::Or(parts) => {
                let holds = matches!(self.pool.term(id), Term::Or(_));
                let mut cost = own;
                let mut jumps = Vec::new();
                for (n, part) in parts.iter().enumerate() {
                    if n > 0 {
                        jumps.push(self.emit(Instruction::JumpIf(holds, 0)));
                        self.depth -= 1;
                    }
                    cost += self.emit_term(*part);
                }
                for jump_to_end in jumps {
                    self.program.instructions[jump_to_end] = Instruction::JumpIf(holds, self.next_address());
                }
                return cost;
            }
            Term::Conditional(test, yes, no) => {
                let mut cost = own + self.emit_term(test);
                let jump_if_false = self.emit(Instruction::JumpIfFalse(0));
                self.depth -= 1;
                cost += self.emit_term(yes);
                let jump_to_end = self.emit(Instruction::Jump(0));
                self.depth -= 1;
                self.program.instructions[jump_if_false] = Instruction::JumpIfFalse(self.next_address());
                cost += self.emit_term(no);
                self.program.instructions[jump_to_end] = Instruction::Jump(self.next_address());
                return cost;
            }
            Term::OrValue(operand, other) => {
                let mut cost = own + self.emit_term(operand);
                let jump_if_present = self.emit(Instruction::JumpIfPresent(0));
                self.depth -= 1;
                cost += self.emit_term(other);
                self.program.instructions[jump_if_present] = Instruction::JumpIfPresent(self.next_address());
                return cost;
            }
            Term::Eq(a, b) => return own + self.emit_binary(a, b, Instruction::Eq),
            Term::Less(a, b) => return own + self.emit_binary(a, b, Instruction::Less),
            Term::LessEq(a, b) => return own + self.emit_binary(a, b, Instruction::LessEq),
            Term::Arithmetic(op, a, b) => return own + self.emit_binary(a, b, Instruction::Arithmetic(op)),
            Term::TextTest(affix, a, b) => return own + self.emit_binary(a, b, Instruction::TextTest(affix)),
            Term::Not(a) => return own + self.emit_unary(a, Instruction::Not),
            Term::Matches(a, regex) => return own + self.emit_unary(a, Instruction::Matches(regex)),
            Term::Size(a) => return own + self.emit_unary(a, Instruction::Size),
            Term::InSegments(a) => return own + self.emit_unary(a, Instruction::InSegments),
            Term::Has(a) => return own + self.emit_unary(a, Instruction::Has),
            Term::Hash(a) => return own + self.emit_unary(a, Instruction::Hash),
            Term::ToInt(a) => return own + self.emit_unary(a, Instruction::ToInt),
            Term::LowerAscii(a) => return own + self.emit_unary(a, Instruction::LowerAscii),
            Term::OneOf(a, list) => {
                self.program.lists.push(list);
                let list = self.program.lists.len() as u32 - 1;
                return own + self.emit_unary(a, Instruction::OneOf(list));
            }
            Term::Concat(parts) => {
                let cost = own + self.emit_all(&parts);
                self.emit(Instruction::Concat(parts.len() as u32));
                self.depth -= parts.len() - 1;
                return cost;
            }
        }
        own
    }

    fn emit_unary(&mut self, operand: TermId, instruction: Instruction) -> u64 {
        let cost = self.emit_term(operand);
        self.emit(instruction);
        cost
    }

    fn emit_binary(&mut self, left: TermId, right: TermId, instruction: Instruction) -> u64 {
        let cost = self.emit_term(left) + self.emit_term(right);
        self.emit(instruction);
        self.depth -= 1;
        cost
    }
}

impl Program {
    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        let texts = self.texts.iter().map(|t| t.len() + 16).sum::<usize>();
        let entry = |c: &Const| if let Const::Text(t) = c { t.len() + 32 } else { 24 };
        let lists = self.lists.iter().flat_map(|l| l.iter()).map(entry).sum::<usize>();
        let regexes = self.regexes.all.iter().map(|r| r.bytes()).sum::<usize>();
        self.instructions.len() * size_of::<Instruction>()
            + texts
            + lists
            + regexes
            + 16 * self.memo_slots as usize
    }
}

/// State of the machine, reused from one request to the next so that nothing is allocated.
pub struct Machine {
    stack: Vec<Value>,
    memo: Vec<(u64, Value)>,
    request_number: u64,
    built: String,
    segments: Segments,
    /// Steps counted for the current request.
    pub steps: u64,
}

/// Error of an expression without a value: an overflow, or a division by zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoValue;

impl Machine {
    /// Creates a machine for one program.
    pub fn new(program: &Program) -> Self {
        Self {
            stack: Vec::with_capacity(program.max_stack + 1),
            memo: vec![(0, Value::Absent); program.memo_slots as usize],
            request_number: 0,
            built: String::with_capacity(MAX_BUILT_BYTES),
            segments: Segments::default(),
            steps: 0,
        }
    }

    /// Starts the next request and discards the values memoized for the previous one.
    pub fn start_request(&mut self, program: &Program, request: &Request) {
        self.request_number += 1;
        self.steps = 0;
        if program.uses_segments {
            self.segments.split_path(request.path());
        }
    }

    /// Returns a text that [`Machine::run`] returned. It is valid until the next run.
    pub fn text<'t>(&'t self, program: &'t Program, request: &Request<'t>, slice: Slice) -> &'t str {
        resolve_text(program, &self.built, request, slice)
    }

    /// Runs one compiled expression. With `COUNTED`, adds the steps taken to [`Machine::steps`].
    pub fn run<const COUNTED: bool>(
        &mut self,
        program: &Program,
        part: CompiledExpr,
        request: &Request,
    ) -> Result<Value, NoValue> {
        let Self { stack, memo, request_number, built, segments, steps } = self;
        stack.clear();
        built.clear();
        let mut at = part.from as usize;
        let end = part.to as usize;
        // Types were checked at load. A value of the wrong type is treated as no value.
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
                resolve_text(program, built, request, $slice)
            };
        }
        macro_rules! add_steps {
            ($steps:expr) => {
                if COUNTED {
                    *steps += $steps;
                }
            };
        }
        while at < end {
            let instruction = program.instructions[at];
            at += 1;
            match instruction {
                Instruction::Bool(b) => {
                    add_steps!(1);
                    stack.push(Value::Bool(b));
                }
                Instruction::Int(n) => {
                    add_steps!(1);
                    stack.push(Value::Int(n));
                }
                Instruction::Text(n) => {
                    add_steps!(1);
                    let bytes = program.texts[n as usize].len();
                    stack.push(Value::Text(Slice::whole(TextSource::Const(n), bytes)));
                }
                Instruction::Field(field) => {
                    add_steps!(if field == Field::Key { bounds::scan_cost(request.target.len()) } else { 1 });
                    stack.push(match field {
                        Field::Budget => Value::Int(request.budget),
                        Field::Length => Value::Int(request.length),
                        Field::Repeat => Value::Bool(request.repeat),
                        Field::Hint => request.hint.map_or(Value::Absent, Value::Int),
                        Field::Key => request.query("key").map_or(Value::Absent, Value::Text),
                        _ => Value::Text(request.field(field)),
                    });
                }
                Instruction::Header(n) => {
                    add_steps!(1);
                    let value = request.headers.get(usize::from(n)).and_then(|h| h.as_ref());
                    stack.push(value.map_or(Value::Absent, |h| {
                        Value::Text(Slice::whole(TextSource::Header(n), h.len()))
                    }));
                }
                Instruction::Query(name) => {
                    add_steps!(bounds::scan_cost(request.target.len()));
                    let found = request.query(&program.texts[name as usize]);
                    stack.push(found.map_or(Value::Absent, Value::Text));
                }
                Instruction::Segment(n) => {
                    add_steps!(1);
                    stack.push(segments.get(usize::from(n)).map_or(Value::Absent, Value::Text));
                }
                Instruction::SegmentCount => {
                    add_steps!(1);
                    stack.push(Value::Int(segments.count as i64));
                }
                Instruction::Eq => {
                    let (b, a) = (pop!(), pop!());
                    let same = match (a, b) {
                        (Value::Text(a), Value::Text(b)) => {
                            add_steps!(bounds::compare_cost(a.bytes(), b.bytes()));
                            text!(a) == text!(b)
                        }
                        _ => {
                            add_steps!(1);
                            a == b
                        }
                    };
                    stack.push(Value::Bool(same));
                }
                Instruction::Less | Instruction::LessEq => {
                    let (b, a) = (pop!(), pop!());
                    let order = match (a, b) {
                        (Value::Text(a), Value::Text(b)) => {
                            add_steps!(bounds::compare_cost(a.bytes(), b.bytes()));
                            text!(a).cmp(text!(b))
                        }
                        (Value::Int(a), Value::Int(b)) => {
                            add_steps!(1);
                            a.cmp(&b)
                        }
                        _ => return Err(NoValue),
                    };
                    let holds = order.is_lt() || matches!(instruction, Instruction::LessEq) && order.is_eq();
                    stack.push(Value::Bool(holds));
                }
                Instruction::Not => {
                    add_steps!(1);
                    let b = pop!(Bool);
                    stack.push(Value::Bool(!b));
                }
                Instruction::JumpIf(holds, to) => {
                    add_steps!(1);
                    if stack.last() == Some(&Value::Bool(holds)) {
                        at = to as usize;
                    } else {
                        stack.pop();
                    }
                }
                Instruction::JumpIfFalse(to) => {
                    add_steps!(1);
                    if !pop!(Bool) {
                        at = to as usize;
                    }
                }
                Instruction::JumpIfPresent(to) => {
                    add_steps!(1);
                    if stack.last() == Some(&Value::Absent) {
                        stack.pop();
                    } else {
                        at = to as usize;
                    }
                }
                Instruction::Jump(to) => {
                    add_steps!(1);
                    at = to as usize;
                }
                Instruction::Arithmetic(op) => {
                    add_steps!(1);
                    let (b, a) = (pop!(Int), pop!(Int));
                    stack.push(Value::Int(op.apply(a, b).ok_or(NoValue)?));
                }
                Instruction::Concat(n) => {
                    let from = stack.len().checked_sub(n as usize).ok_or(NoValue)?;
                    let start = built.len();
                    for part in &stack[from..] {
                        let Value::Text(slice) = *part else { return Err(NoValue) };
                        if slice.source == TextSource::Built {
                            built.extend_from_within(slice.from as usize..slice.to as usize);
                        } else {
                            let text = resolve_text(program, "", request, slice);
                            built.push_str(text);
                        }
                    }
                    add_steps!(u64::from(n) + bounds::copy_cost(built.len() - start));
                    stack.truncate(from);
                    stack.push(built_from(built, start));
                }
                Instruction::TextTest(affix) => {
                    let (b, a) = (pop!(Text), pop!(Text));
                    let (operand, by) = (text!(a), text!(b));
                    let holds = match affix {
                        TextTest::StartsWith => operand.starts_with(by),
                        TextTest::EndsWith => operand.ends_with(by),
                        TextTest::Contains => {
                            memchr::memmem::find(operand.as_bytes(), by.as_bytes()).is_some()
                        }
                    };
                    add_steps!(match affix {
                        TextTest::Contains => bounds::scan_cost(operand.len() + by.len()),
                        _ => bounds::compare_cost(operand.len(), by.len()),
                    });
                    stack.push(Value::Bool(holds));
                }
                Instruction::Matches(regex) => {
                    let operand = pop!(Text);
                    let (found, read) = program.regexes.all[regex as usize].search(text!(operand).as_bytes());
                    add_steps!(bounds::scan_cost(read));
                    stack.push(Value::Bool(found));
                }
                Instruction::Size => {
                    add_steps!(1);
                    let operand = pop!(Text);
                    stack.push(Value::Int(operand.bytes() as i64));
                }
                Instruction::OneOf(list) => {
                    let operand = pop!();
                    let list = &program.lists[list as usize];
                    let (found, met) = match operand {
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
                        add_steps!(bounds::search_cost(list.len(), longest.max().unwrap_or(0), met));
                    }
                    stack.push(Value::Bool(found));
                }
                Instruction::InSegments => {
                    let operand = pop!(Text);
                    let (text, path) = (text!(operand), request.path());
                    let inner = path.strip_prefix('/').unwrap_or(path);
                    add_steps!(2 * bounds::scan_cost(path.len()) + bounds::copy_cost(operand.bytes()));
                    stack.push(Value::Bool(inner.split('/').any(|s| s == text)));
                }
                Instruction::Has => {
                    add_steps!(1);
                    let operand = pop!();
                    stack.push(Value::Bool(operand != Value::Absent));
                }
                Instruction::Hash => {
                    let operand = pop!(Text);
                    add_steps!(bounds::lookup_cost(operand.bytes()));
                    stack.push(Value::Int(hash(text!(operand))));
                }
                Instruction::ToInt => {
                    let operand = pop!(Text);
                    add_steps!(bounds::scan_cost(operand.bytes().min(bounds::MAX_INT_BYTES)));
                    stack.push(to_int(text!(operand)).map_or(Value::Absent, Value::Int));
                }
                Instruction::LowerAscii => {
                    let operand = pop!(Text);
                    add_steps!(bounds::scan_cost(operand.bytes()));
                    let start = built.len();
                    if operand.source == TextSource::Built {
                        built.extend_from_within(operand.from as usize..operand.to as usize);
                    } else {
                        built.push_str(resolve_text(program, "", request, operand));
                    }
                    built[start..].make_ascii_lowercase();
                    stack.push(built_from(built, start));
                }
                Instruction::LoadMemo(slot, to) => {
                    add_steps!(1);
                    let (memoized_for, value) = memo[slot as usize];
                    if memoized_for == *request_number {
                        stack.push(value);
                        at = to as usize;
                    }
                }
                Instruction::StoreMemo(slot) => {
                    add_steps!(1);
                    if let Some(value) = stack.last() {
                        memo[slot as usize] = (*request_number, *value);
                    }
                }
            }
        }
        stack.pop().ok_or(NoValue)
    }
}

fn built_from(built: &str, start: usize) -> Value {
    Value::Text(Slice { source: TextSource::Built, from: start as u32, to: built.len() as u32 })
}

fn resolve_text<'t>(program: &'t Program, built: &'t str, request: &Request<'t>, slice: Slice) -> &'t str {
    let whole = match slice.source {
        TextSource::Const(n) => program.texts.get(n as usize).map_or("", |t| t.as_ref()),
        TextSource::Method => request.method,
        TextSource::Target => request.target,
        TextSource::Class => request.class,
        TextSource::Tenant => request.tenant,
        TextSource::Header(n) => request.headers.get(usize::from(n)).and_then(|h| h.as_deref()).unwrap_or(""),
        TextSource::Built => built,
    };
    whole.get(slice.from as usize..slice.to as usize).unwrap_or("")
}

/// Function `hash` of the language: SipHash 1-3 with zero keys, cut to 63 bits, so that it is the same on every front
/// and in every run.
pub fn hash(text: &str) -> i64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    (hasher.finish() >> 1) as i64
}

/// Function `int` of the language: digits with an optional sign.
pub fn to_int(text: &str) -> Option<i64> {
    if text.len() > bounds::MAX_INT_BYTES {
        return None;
    }
    text.parse().ok()
}
