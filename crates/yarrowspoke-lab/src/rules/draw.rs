//! Rules and requests drawn from a seed: everyday ones, odd ones that use all of the language, hostile ones.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use yarrowspoke_expr::request::Request;
use yarrowspoke_expr::ruling::{LimitSource, RuleActions};
use yarrowspoke_expr::set::RuleSource;

/// Sections of the stand-in newspapers.
const SECTIONS: [&str; 12] = [
    "sport", "news", "live", "politics", "culture", "weather", "flood", "election", "opinion", "video",
    "local", "travel",
];
const CLASSES: [&str; 3] = ["article", "section", "comment"];
const TENANTS: [&str; 4] = ["suara", "pantai", "warta", "harian"];
const METHODS: [&str; 3] = ["GET", "POST", "HEAD"];
const AGENTS: [&str; 4] = ["app/3.1", "app/2.9", "browser", "crawler bot"];
/// Headers that drawn rules read.
const HEADERS: [&str; 3] = ["x-agent", "x-edition", "x-app"];

/// Draws rules and requests.
pub struct Draw {
    rng: Pcg64Mcg,
}

/// A request that owns its texts.
#[derive(Clone, Debug)]
pub struct Drawn {
    method: &'static str,
    /// Path and query.
    pub target: String,
    class: &'static str,
    tenant: &'static str,
    headers: Vec<(&'static str, String)>,
    budget: i64,
    hint: Option<i64>,
    repeat: bool,
    length: i64,
}

impl Drawn {
    /// Values of the headers that a set reads, in its order.
    pub fn headers(&self, wanted: &[String]) -> Vec<Option<String>> {
        let value = |name: &String| self.headers.iter().find(|h| h.0 == name).map(|h| h.1.clone());
        wanted.iter().map(value).collect()
    }

    /// As rules see it.
    pub fn request<'a>(&'a self, headers: &'a [Option<String>]) -> Request<'a> {
        Request {
            method: self.method,
            target: &self.target,
            class: self.class,
            tenant: self.tenant,
            headers,
            budget: self.budget,
            hint: self.hint,
            repeat: self.repeat,
            length: self.length,
        }
    }
}

impl Draw {
    /// The same seed draws the same.
    pub fn new(seed: u64) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    fn of<'a>(&mut self, all: &[&'a str]) -> &'a str {
        all.choose(&mut self.rng).copied().unwrap_or("")
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.gen_bool(p)
    }

    // ---- Requests ------------------------------------------------------------------------------------

    /// A request, now and then a long or an odd one.
    pub fn request(&mut self, most: usize, articles: usize) -> Drawn {
        let class = *CLASSES.choose(&mut self.rng).unwrap_or(&"article");
        let mut target = format!("/{class}");
        for _ in 0..self.rng.gen_range(0..4) {
            target.push('/');
            match self.rng.gen_range(0..4) {
                0 => target += &format!("a{}", self.rng.gen_range(0..articles.max(1))),
                1 => target += &self.rng.gen_range(0..3_000u32).to_string(),
                2 if self.chance(0.2) => {
                    target += ["", "..", "%2e", "\u{e9}t\u{e9}", "SPORT"].choose(&mut self.rng).unwrap_or(&"")
                }
                _ => target += self.of(&SECTIONS),
            }
        }
        let mut mark = '?';
        for _ in 0..self.rng.gen_range(0..4) {
            target.push(mark);
            mark = '&';
            let name = self.of(&["key", "page", "edition", "q"]);
            let value = match self.rng.gen_range(0..4) {
                0 => self.rng.gen_range(0..40).to_string(),
                1 => self.of(&SECTIONS).to_owned(),
                2 => String::new(),
                _ => format!("a{}", self.rng.gen_range(0..articles.max(1))),
            };
            target += &format!("{name}={value}");
        }
        // As long as it may be: the worst case of every scan.
        if self.chance(0.05) {
            let filler = self.of(&["a", "/", "=&", "sport/"]);
            while target.len() + filler.len() <= most {
                target += filler;
            }
        }
        target
            .truncate((0..=most.min(target.len())).rev().find(|n| target.is_char_boundary(*n)).unwrap_or(0));
        let mut headers = Vec::new();
        for name in HEADERS {
            if self.chance(0.6) {
                headers.push((name, self.of(&AGENTS).to_owned()));
            }
        }
        Drawn {
            method: METHODS.choose(&mut self.rng).unwrap_or(&"GET"),
            target,
            class,
            tenant: TENANTS.choose(&mut self.rng).unwrap_or(&""),
            headers,
            budget: self.rng.gen_range(0..3_000_000),
            hint: if self.chance(0.5) { Some(self.rng.gen_range(0..300_000)) } else { None },
            repeat: self.chance(0.2),
            length: self.rng.gen_range(0..100),
        }
    }

    // ---- Everyday rules ------------------------------------------------------------------------------

    /// The rule of this number in a file as engineers would write it: most about one section, page or tenant.
    pub fn everyday(&mut self, n: usize, pattern: bool) -> RuleSource {
        let section = self.of(&SECTIONS);
        let tenant = self.of(&TENANTS);
        let id = format!("a{n}");
        let mut when = match self.rng.gen_range(0..6) {
            0 => format!("class == 'article' && segments[1].orValue('') == '{id}'"),
            1 => format!("path.startsWith('/article/{section}/{n}')"),
            2 => format!("tenant == '{tenant}' && key.orValue('') == '{id}'"),
            3 => format!("segments[2].orValue('') in ['{id}', 'b{n}', 'c{n}'] && !repeat"),
            4 => format!("class == 'section' && query['edition'].orValue('') == '{id}' && budget > 100ms"),
            _ => format!("path == '/comment/{section}/{id}' || path == '/comment/{id}'"),
        };
        if pattern {
            when = format!(
                "segments[1].orValue('') == '{id}' && path.matches('^/[a-z]+/{id}/[0-9]{{1,6}}(/amp)?$')"
            );
        }
        let actions = match self.rng.gen_range(0..6) {
            0 => RuleActions { at_most_once: true, ..RuleActions::default() },
            1 => RuleActions { attempts: Some(1), ..RuleActions::default() },
            2 => RuleActions { budget: Some(700_000), ..RuleActions::default() },
            3 => RuleActions {
                subject: Some("class + ':' + segments[1].orValue('')".to_owned()),
                ..RuleActions::default()
            },
            4 => RuleActions { refuse: Some(500_000), ..RuleActions::default() },
            _ => {
                let key = Some("segments[1].orValue('') + tenant".to_owned());
                RuleActions {
                    limit: Some(LimitSource { key, rate: 50.0, burst: 10.0 }),
                    ..RuleActions::default()
                }
            }
        };
        RuleSource { name: format!("rule-{n}"), when, actions }
    }

    /// The few rules that nothing finds by a constant.
    pub fn general(&mut self, n: usize) -> RuleSource {
        let when = match n % 5 {
            0 => "repeat && budget < 200ms".to_owned(),
            1 => "length > 60000".to_owned(),
            2 => "headers['x-agent'].orValue('').contains('bot')".to_owned(),
            3 => "size(segments) > 12".to_owned(),
            _ => "hint.orValue(0s) > 250ms && method != 'GET'".to_owned(),
        };
        RuleSource {
            name: format!("general-{n}"),
            when,
            actions: RuleActions { attempts: Some(2), ..RuleActions::default() },
        }
    }

    // ---- Odd rules -----------------------------------------------------------------------------------

    /// Any condition that the language allows, of so many levels at the most.
    pub fn condition(&mut self, depth: u32) -> String {
        if depth == 0 {
            return self.test();
        }
        match self.rng.gen_range(0..8) {
            0 | 1 => self.joined(depth, " && "),
            2 => self.joined(depth, " || "),
            3 => format!("!({})", self.condition(depth - 1)),
            4 => format!(
                "({} ? {} : {})",
                self.condition(depth - 1),
                self.condition(depth - 1),
                self.condition(depth - 1)
            ),
            5 => format!("{} {} {}", self.text(depth), self.of(&["==", "!=", "<", ">="]), self.text(depth)),
            _ => self.test(),
        }
    }

    fn joined(&mut self, depth: u32, sign: &str) -> String {
        let parts: Vec<String> =
            (0..self.rng.gen_range(2..4)).map(|_| format!("({})", self.condition(depth - 1))).collect();
        parts.join(sign)
    }

    fn test(&mut self) -> String {
        let text = self.text(1);
        let section = self.of(&SECTIONS);
        match self.rng.gen_range(0..14) {
            0 => format!("class == '{}'", self.of(&CLASSES)),
            1 => format!("segments[{}].orValue('') == '{section}'", self.rng.gen_range(0..4)),
            2 => format!("{text} in ['{section}', '{}', 'GET']", self.of(&CLASSES)),
            3 => format!("{text}.startsWith('{}')", self.of(&["/article", "/", "s", "", "/comment/a1"])),
            4 => format!("path.startsWith('/{}')", self.of(&CLASSES)),
            5 => format!("{text}.endsWith('{}')", self.of(&["t", "", "/sport"])),
            6 => format!("{text}.contains('{}')", self.of(&["o", "a1", "//"])),
            7 => format!("{text}.matches('{}')", self.of(&["^/a", "[0-9]+", "s.o", "(news|live)$", "^$"])),
            8 => format!("{} {} {}", self.number(2), self.of(&["==", "<", "<=", ">"]), self.number(2)),
            9 => format!("'{section}' in segments"),
            10 => format!(
                "has({})",
                self.of(&["key", "hint", "headers['x-app']", "query['page']", "int(method)"])
            ),
            11 => self.of(&["repeat", "!repeat", "true", "false"]).to_owned(),
            12 => format!(
                "budget {} {}",
                self.of(&["<", ">="]),
                self.of(&["1s", "250ms * 3", "hint.orValue(2s)"])
            ),
            _ => format!("tenant == '{}' && method == '{}'", self.of(&TENANTS), self.of(&METHODS)),
        }
    }

    fn text(&mut self, depth: u32) -> String {
        let section = self.of(&SECTIONS);
        match self.rng.gen_range(0..11) {
            0 => "path".to_owned(),
            1 => "class".to_owned(),
            2 => "tenant".to_owned(),
            3 => format!("segments[{}].orValue('{section}')", self.rng.gen_range(0..4)),
            4 => "query['edition'].orValue('')".to_owned(),
            5 => "headers['X-Agent'].orValue('none')".to_owned(),
            6 => "key.orValue(class)".to_owned(),
            7 => format!("'{section}'"),
            8 if depth > 0 => format!("{}.lowerAscii()", self.text(0)),
            9 if depth > 0 => format!("({} + ':' + {})", self.text(0), self.text(0)),
            10 if depth > 0 => format!("(repeat ? {} : {})", self.text(0), self.text(0)),
            _ => "method".to_owned(),
        }
    }

    fn number(&mut self, depth: u32) -> String {
        match self.rng.gen_range(0..9) {
            0 => "length".to_owned(),
            1 => format!("size({})", self.text(0)),
            2 => "size(segments)".to_owned(),
            3 => "int(query['page'].orValue('x')).orValue(-3)".to_owned(),
            4 => "hash(path) % 7".to_owned(),
            5 if depth > 0 => {
                format!(
                    "({} {} {})",
                    self.number(depth - 1),
                    self.of(&["+", "-", "*", "/", "%"]),
                    self.number(depth - 1)
                )
            }
            6 => "9223372036854775807".to_owned(),
            _ => self.rng.gen_range(-5..60).to_string(),
        }
    }

    /// A rule of any condition, which marks what it holds for.
    pub fn odd(&mut self, n: usize) -> RuleSource {
        let depth = self.rng.gen_range(0..4);
        let when = self.condition(depth);
        RuleSource {
            name: format!("odd-{n}"),
            when,
            actions: RuleActions { at_most_once: true, ..RuleActions::default() },
        }
    }

    // ---- Hostile rules -------------------------------------------------------------------------------

    /// Texts meant to hurt, of all sorts and of drawn sizes. None may be accepted.
    pub fn hostile(&mut self) -> Vec<(&'static str, String)> {
        let n = self.rng.gen_range(1_000..20_000usize);
        let many = |unit: &str| unit.repeat(n);
        let some = self.rng.gen_range(100..1_000);
        let contains: Vec<String> = (0..some).map(|i| format!("path.contains('x{i}')")).collect();
        let alternatives: Vec<String> = (0..3_000 + some).map(|i| format!("w{i}")).collect();
        let mut doubled = "path".to_owned();
        for _ in 0..6 {
            doubled = format!("({doubled} + {doubled})");
        }
        vec![
            ("brackets that open", many("(")),
            ("brackets that nest", format!("{}true{}", many("("), many(")"))),
            ("not of not", format!("{}true", many("!"))),
            ("a megabyte of letters", "x".repeat(1_000_000)),
            ("a megabyte of string", format!("class == '{}'", "x".repeat(1_000_000))),
            ("a string without end", format!("class == '{}", many("x"))),
            ("choices that nest", format!("{}true", many("true ? true : "))),
            ("lists that nest", many("[")),
            ("sums without end", format!("length{} > 0", many(" + 1"))),
            ("methods without end", format!("class{} == ''", many(".lowerAscii()"))),
            ("a string that doubles", format!("{doubled} == ''")),
            ("repeats of repeats", "path.matches('(((a{1,99}){1,99}){1,99}){1,99}')".to_owned()),
            ("a huge count", format!("path.matches('a{{{}}}')", 1_000_000 + n)),
            ("an automaton that doubles", format!("path.matches('[ab]*a[ab]{{{}}}')", 20 + some % 40)),
            ("thousands of alternatives", format!("path.matches('{}')", alternatives.join("|"))),
            ("groups that nest", format!("path.matches('{}a{}')", "(".repeat(200), ")".repeat(200))),
            ("a pattern of a kilobyte and more", format!("path.matches('{}')", "a".repeat(1_025 + some))),
            ("searches without end", contains[..200.min(contains.len())].join(" || ")),
            ("a number past 64 bits", format!("length > {}", "9".repeat(19 + some % 50))),
            ("a time past 64 bits", "budget > 9223372036854775807h".to_owned()),
            ("a division by nothing", "length / 0 > 1".to_owned()),
            ("a segment past the last", format!("segments[{n}].orValue('') == ''")),
            ("a type that is none", "class && path".to_owned()),
            ("bytes that are no word", "\u{0}\u{1}\u{202e}class".to_owned()),
        ]
    }
}
