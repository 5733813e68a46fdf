//! The page on capacity: it says what its file says, and a file or page that is wrong changes nothing.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use yarrowspoke_lab::scale::at_size::rank;
use yarrowspoke_lab::scale::page::{figure, filled, read, NAMES};
use yarrowspoke_lab::scale::plot;
use yarrowspoke_lab::scale::report::{AtSize, Incident, Origin, Report, Shape, Slope, VERSION};
use yarrowspoke_lab::scale::target::Budget;

fn docs(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn has(name: &str) -> bool {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name).exists()
}

fn blank() -> String {
    let tables = NAMES.map(|n| format!("## {n}\n\n<!-- scale:begin {n} -->\n<!-- scale:end {n} -->\n"));
    format!("# Page\n\n{}\nAfter it.\n", tables.join("\n"))
}

fn row(role: &str, quantity: &str, value: f64, budget: Option<(Budget, f64)>) -> AtSize {
    AtSize {
        role: role.to_owned(),
        quantity: quantity.to_owned(),
        unit: "bytes".to_owned(),
        value,
        budget: budget.map(|b| b.1),
        budget_of: budget.map(|b| b.0),
        within: budget.map(|b| value <= b.1),
        mechanism: "missing: nothing".to_owned(),
        origin: Origin::WorkedOut,
        formula: "2 x 3 [a|b] + 1 = 7".to_owned(),
    }
}

fn made() -> Report {
    Report {
        version: VERSION,
        seed: 7,
        at_size: vec![
            row("planner", "no budget", 5.0, None),
            row("planner", "own, far over", 900.0, Some((Budget::Program, 1.0))),
            row("front", "within", 1.0, Some((Budget::FrontMemory, 32.0))),
            row("front", "over", 20.0, Some((Budget::ControlBytes, 10.0))),
            row("set aside", "far over", 50.0, Some((Budget::SetAside, 5.0))),
        ],
        slopes: vec![Slope {
            role: "planner".to_owned(),
            quantity: "work".to_owned(),
            unit: "us".to_owned(),
            over: "fronts".to_owned(),
            points: vec![(10.0, 100.0), (20.0, 400.0)],
            shape: Shape::Quadratic,
            per_unit: 1.0,
            fixed: 0.0,
            residual: 0.0,
        }],
        incidents: vec![Incident {
            name: "a zone is gone".to_owned(),
            must_not: "a request is lost".to_owned(),
            held: false,
            broken: vec!["3 were".to_owned()],
            steady_after_s: Some(4.25),
            change_in_force_s: None,
            peaks: vec![("front".to_owned(), "memory".to_owned(), "MB".to_owned(), 31.0)],
        }],
        not_measured: vec!["the moon: too far".to_owned()],
        ..Report::default()
    }
}

/// A directory of its own, gone with it.
struct Own(PathBuf);

impl Own {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("yarrowspoke-scale-page-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        std::fs::write(self.0.join(name), text).unwrap();
        self.0.join(name)
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn page(json: &Path, to: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yarrowspoke-lab"))
        .args(["scale", "--page", "--json-file"])
        .arg(json)
        .arg("--to")
        .arg(to)
        .output()
        .unwrap()
}

#[test]
fn page_and_file_agree() {
    let seen = read(&docs("measurements/scale.json")).unwrap();
    let page = docs("CAPACITY.md");
    let plain = has("measurements/scale-plain.json").then(|| docs("measurements/scale-plain.json"));
    let plain = plain.map(|text| read(&text).unwrap());
    let new = filled(&page, &seen, plain.as_ref()).unwrap();
    for (n, (is, should)) in page.lines().zip(new.lines()).enumerate() {
        assert_eq!(is, should, "docs/CAPACITY.md, line {}: run `yarrowspoke-lab scale --page`", n + 1);
    }
    assert_eq!(page, new, "docs/CAPACITY.md: run `yarrowspoke-lab scale --page`");
}

#[test]
fn a_page_with_a_changed_figure_or_an_older_file_does_not_agree() {
    let page = filled(&blank(), &made(), None).unwrap();
    assert_eq!(filled(&page, &made(), None).unwrap(), page, "writing it once more changes nothing");
    let changed = page.replacen("20 bytes", "2 bytes", 1);
    assert_ne!(changed, page);
    assert_eq!(filled(&changed, &made(), None).unwrap(), page, "what was changed by hand is written over");
    assert_ne!(filled(&page, &Report { seed: 8, ..made() }, None).unwrap(), page);
}

/// What the table of before and after says.
fn mechanism(seen: &Report, plain: Option<&Report>) -> String {
    let page = filled(&blank(), seen, plain).unwrap();
    let at = |what: &str| page.find(what).unwrap_or_else(|| panic!("{what}: not in {page}"));
    page[at("scale:begin mechanism")..at("scale:end mechanism")].to_owned()
}

#[test]
fn before_and_after_are_held_against_each_other_where_both_were_run() {
    let (plain, mut paced) = (made(), Report { paced: true, ..made() });
    paced.at_size.retain(|r| r.quantity != "no budget");
    paced.at_size.push(row("front", "after alone", 1.0, None));
    paced.at_size.iter_mut().filter(|r| r.quantity == "over").for_each(|r| r.value = 5.0);
    let table = mechanism(&paced, Some(&plain));
    let told = "| front | over | 20 bytes | 5 bytes | 0.25 | missing: nothing |";
    assert!(table.contains(told) && table.contains("Seed 7 both"), "{table}");
    assert!(table.contains("lease of 3.5 s"), "what else differs is told: {table}");
    // A head, its rule, and the four rows that both have.
    assert_eq!(table.lines().filter(|l| l.starts_with('|')).count(), 6, "{table}");
    assert!(!table.contains("no budget") && !table.contains("after alone"), "{table}");
    let other_unit = |r: AtSize| AtSize { unit: "MB".to_owned(), ..r };
    let units = Report { at_size: plain.at_size.clone().into_iter().map(other_unit).collect(), ..made() };
    assert_eq!(mechanism(&paced, Some(&units)).lines().filter(|l| l.starts_with('|')).count(), 2);
    let nothing = Report { at_size: vec![row("front", "over", 0.0, None)], ..made() };
    assert!(mechanism(&paced, Some(&nothing)).contains("| 0 bytes | 5 bytes | - |"), "no ratio to nothing");
    let (seed, quick) = (Report { seed: 8, ..made() }, Report { quick: true, ..made() });
    for (seen, plain) in [
        (&paced, None),
        (&plain, None),
        (&plain, Some(&plain)),
        (&paced, Some(&paced)),
        (&paced, Some(&seed)),
        (&paced, Some(&quick)),
    ] {
        let table = mechanism(seen, plain);
        assert!(table.contains("not measured") && !table.contains('|'), "{table}");
    }
}

#[test]
fn the_file_before_is_taken_if_it_is_there_and_refused_if_it_is_none() {
    let own = Own::new("before");
    let paced = Report { paced: true, ..made() };
    let json = own.file("scale.json", &serde_json::to_string(&paced).unwrap());
    let to = own.file("page.md", &blank());
    assert_eq!(page(&json, &to).status.code(), Some(0), "a file that is not there is no fault");
    let without = std::fs::read_to_string(&to).unwrap();
    assert_eq!(without, filled(&blank(), &paced, None).unwrap());
    own.file("scale-plain.json", "{}");
    let done = page(&json, &to);
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains("scale-plain.json"), "{said}");
    assert_eq!(std::fs::read_to_string(&to).unwrap(), without);
    own.file("scale-plain.json", &serde_json::to_string(&made()).unwrap());
    assert_eq!(page(&json, &to).status.code(), Some(0));
    assert_eq!(std::fs::read_to_string(&to).unwrap(), filled(&blank(), &paced, Some(&made())).unwrap());
}

#[test]
fn a_quick_run_says_so_by_itself() {
    let of = |quick| filled(&blank(), &Report { quick, ..made() }, None).unwrap();
    assert!(of(true).contains("**A trial**: the quick run") && !of(false).contains("trial"));
}

#[test]
fn what_stands_around_the_tables_stays() {
    let page = filled(&blank(), &made(), None).unwrap();
    assert!(page.starts_with("# Page\n\n## budgets\n") && page.ends_with("\nAfter it.\n"), "{page}");
    for name in NAMES {
        assert_eq!(page.matches(&format!("<!-- scale:begin {name} -->")).count(), 1, "{name}");
        assert_eq!(page.matches(&format!("<!-- scale:end {name} -->")).count(), 1, "{name}");
    }
}

#[test]
fn budgets_stand_worst_first_and_one_without_a_figure_is_named() {
    let page = filled(&blank(), &made(), None).unwrap();
    let at = |what: &str| page.find(what).unwrap_or_else(|| panic!("{what}: not in {page}"));
    let budgets = &page[at("scale:begin budgets")..at("scale:end budgets")];
    let within = |what: &str| budgets.find(what).unwrap_or_else(|| panic!("{what}: not in {budgets}"));
    assert!(within("set aside: far over") < within("front: over"), "{budgets}");
    assert!(within("front: over") < within("front: within"), "{budgets}");
    assert!(within("front: within") < within("own, far over"), "the operators' before its own: {budgets}");
    assert!(!budgets.contains("no budget"), "{budgets}");
    let none = budgets.lines().filter(|l| l.contains("not measured in this run")).count();
    assert_eq!(none, Budget::OPERATORS.len() - 3, "{budgets}");
    for budget in Budget::OPERATORS {
        assert!(budgets.contains(&budget.label()), "{budget:?}");
    }
}

#[test]
fn what_is_missed_comes_first_and_the_operators_budgets_before_its_own() {
    let mut rows = made().at_size;
    rank(&mut rows);
    let order: Vec<&str> = rows.iter().map(|r| r.quantity.as_str()).collect();
    assert_eq!(order, ["far over", "over", "own, far over", "within", "no budget"]);
}

#[test]
fn broken_incidents_and_what_grows_faster_than_linear_are_told() {
    let page = filled(&blank(), &made(), None).unwrap();
    let told =
        "| a zone is gone | a request is lost | **no**: 3 were | 4.2 s | not seen | front, memory: 31 MB |";
    assert!(page.contains(told), "{page}");
    assert!(page.contains("- Grows faster than linear: planner, work over fronts (quadratic)."), "{page}");
    assert!(page.contains("- Not measured: the moon: too far."), "{page}");
    assert!(page.contains("2 x 3 [a\\|b] + 1 = 7"), "a cell ends no column: {page}");
}

#[test]
fn figures_have_three_digits_that_count() {
    let cases = [
        (0.0, "0"),
        (0.000_123_44, "0.000123"),
        (0.05, "0.05"),
        (-1.234_5, "-1.23"),
        (9.999, "10"),
        (99.96, "100"),
        (100.0, "100"),
        (999.9, "1000"),
        (1_000.0, "1,000"),
        (-12_345.6, "-12,346"),
        (1_234_567.0, "1,234,567"),
    ];
    for (value, text) in cases {
        assert_eq!(figure(value), text, "{value}");
    }
}

#[test]
fn what_is_refused_leaves_the_page_untouched() {
    let own = Own::new("refused");
    let good = serde_json::to_string(&made()).unwrap();
    let version = format!("\"version\":{VERSION}");
    assert!(good.contains(&version));
    let other = format!("\"version\":{}", VERSION + 1);
    let unknown = serde_json::to_string(&Report { at_size: vec![row("moon", "x", 1.0, None)], ..made() });
    let page_of = blank();
    let marker = "<!-- scale:end planner -->";
    let swapped = page_of
        .replace("<!-- scale:begin front -->", "<!-- scale:x -->")
        .replace("<!-- scale:end front -->", "<!-- scale:begin front -->")
        .replace("<!-- scale:x -->", "<!-- scale:end front -->");
    let cases = [
        ("empty", String::new(), page_of.clone(), "no object"),
        ("cut", good[..good.len() / 2].to_owned(), page_of.clone(), "no object"),
        ("a list", "[]".to_owned(), page_of.clone(), "version: found none"),
        ("another version", good.replace(&version, &other), page_of.clone(), "version: found"),
        ("no version", good.replace(&version, "\"w\":1"), page_of.clone(), "version: found none"),
        (
            "version a text",
            good.replace(&version, "\"version\":\"1\""),
            page_of.clone(),
            "version: found none",
        ),
        ("no seed", good.replace("\"seed\":7", "\"sown\":7"), page_of.clone(), "seed"),
        ("a role that no table has", unknown.unwrap(), page_of.clone(), "moon"),
        ("no marker", good.clone(), page_of.replace(marker, ""), "found 0 times"),
        ("a marker twice", good.clone(), format!("{page_of}{marker}\n"), "found 2 times"),
        ("markers the wrong way round", good.clone(), swapped, "before its beginning"),
        ("an empty page", good.clone(), String::new(), "found 0 times"),
    ];
    for (what, json, text, expected) in cases {
        let (json, to) = (own.file("scale.json", &json), own.file("page.md", &text));
        let done = page(&json, &to);
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{what}: {said}");
        assert_eq!(said.lines().count(), 1, "{what}: {said}");
        assert!(said.contains(expected), "{what}: {said}");
        assert_eq!(std::fs::read_to_string(&to).unwrap(), text, "{what}");
        assert_eq!(std::fs::read_dir(&own.0).unwrap().count(), 2, "{what}: a file is left");
    }
    let to = own.file("page.md", &page_of);
    for (json, to) in
        [(own.0.join("none.json"), to.clone()), (own.file("scale.json", &good), own.0.join("none.md"))]
    {
        let done = page(&json, &to);
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!((done.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains("none."), "{said}");
    }
    assert_eq!(std::fs::read_to_string(&to).unwrap(), page_of);
    assert!(!own.0.join("none.md").exists());
    // The same with nothing wrong, so that it was what was wrong that was refused.
    assert_eq!(page(&own.file("scale.json", &good), &to).status.code(), Some(0));
    assert_eq!(std::fs::read_to_string(&to).unwrap(), filled(&page_of, &made(), None).unwrap());
}

#[test]
fn each_slope_is_drawn_against_its_budget() {
    let own = Own::new("plot");
    let seen = read(&docs("measurements/scale.json")).unwrap();
    let files = plot::draw(&seen, &own.0).unwrap();
    assert_eq!(files.len(), seen.slopes.len());
    let mut names = files.clone();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), files.len(), "no picture is drawn over another");
    for (slope, file) in seen.slopes.iter().zip(&files) {
        let text = std::fs::read_to_string(file).unwrap();
        assert_eq!(text.matches("<circle").count(), slope.points.len(), "{}", file.display());
        let budget = if plot::budget(slope).is_some() { "orange: its budget" } else { "no budget" };
        assert!(text.contains(budget), "{}: {budget}", file.display());
    }
    assert!(seen.slopes.iter().any(|s| plot::budget(s).is_some()));
}
