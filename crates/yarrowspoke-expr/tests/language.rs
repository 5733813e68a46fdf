//! Tests of the meaning of expressions, and of the faults of invalid ones with their positions.

mod common;

use common::{holds, refused, request};
use yarrowspoke_expr::parse::parse;

#[test]
fn conditions_hold_or_not() {
    let mut r = request("/article/sport/7?key=k1&page=2&page=3&empty=");
    r.budget = 1_500_000;
    r.length = 12;
    let headers = [Some("Mobile App".to_owned())];
    r.headers = &headers;
    for (when, expected) in [
        ("true", true),
        ("false || true && true", true),
        ("class == 'article'", true),
        ("'article' == class", true),
        ("class != \"article\"", false),
        ("method in ['GET', 'HEAD']", true),
        ("method in ['GET']", true),
        ("path == '/article/sport/7'", true),
        ("target.endsWith('empty=')", true),
        ("segments[1].orValue('') == 'sport'", true),
        ("segments[9].orValue('none') == 'none'", true),
        ("'sport' in segments && !('news' in segments)", true),
        ("size(segments) == 3 && size(path) == 16", true),
        ("query['page'].orValue('') == '2'", true),
        ("has(query['empty']) && query['empty'].orValue('x') == ''", true),
        ("has(query['pag'])", false),
        ("has(query['absent'])", false),
        ("key.orValue('') == 'k1'", true),
        ("int(query['page'].orValue('')).orValue(0) + 1 == 3", true),
        ("has(int('12x'))", false),
        ("headers['User-Agent'].orValue('').contains('App')", true),
        ("headers['USER-AGENT'].orValue('').lowerAscii().startsWith('mobile')", true),
        ("path.matches('^/article/[a-z]+/[0-9]+$')", true),
        ("path.matches('sport|news')", true),
        ("path.matches('/$')", false),
        ("budget < 2s && budget >= 1500ms && budget <= 1s + 500ms", true),
        ("budget * 2 > 2s && budget / 3 == 500ms", true),
        ("hint.orValue(1ms) == 1ms && !has(hint)", true),
        ("length > 10 ? repeat : !repeat", false),
        ("segments[1].orValue('') + ':' + tenant == 'sport:acme'", true),
        ("(tenant + 'X').lowerAscii() == 'acmex'", true),
        ("hash(path) % 10 >= 0", true),
        ("-3 + 5 == 2 && 7 % 4 == 3 && 2 - 3 - 4 == -5", true),
        ("'b' > 'a' && 'a' <= 'a' && 'aa' > 'a'", true),
        ("length in [12, 13] && !(length in [1])", true),
        ("'it\\'s' == \"it's\"", true),
    ] {
        assert_eq!(holds(when, &r), expected, "{when}");
    }
}

#[test]
fn overflow_and_division_by_zero_have_no_value_and_do_not_hold() {
    let r = request("/article");
    for when in [
        "9223372036854775807 + length + 1 > 0",
        "!(9223372036854775807 + length + 1 > 0)",
        "1 / length == 0",
        "1 % length == 0",
        "(0 - 9223372036854775807 - 1) / (length - 1) > 0",
        "1 / length == 0 || true",
        "2562047788h * (length + 3) > 1s",
    ] {
        assert!(!holds(when, &r), "{when}");
    }
    // An operand that is not evaluated cannot fail the expression.
    assert!(holds("true || 1 / length == 0", &r));
    assert!(holds("length == 0 ? true : 1 / length == 0", &r));
}

#[test]
fn rules_read_the_undecoded_bytes() {
    let r = request("/article/%73port/..?key=%6b&key=b");
    assert!(!holds("segments[1].orValue('') == 'sport'", &r));
    assert!(holds("segments[1].orValue('') == '%73port' && segments[2].orValue('') == '..'", &r));
    assert!(holds("key.orValue('') == '%6b'", &r));
    assert!(holds("size(segments) == 2 && segments[1].orValue('x') == ''", &request("/article/")));
    assert!(holds("size(segments) == 1", &request("/")));
    assert!(holds("path == '/article' && !has(query['a'])", &request("/article?")));
}

#[test]
fn faults_have_a_position_and_the_expected_input() {
    for (when, at, found, expected) in [
        ("", 0, "the end", "a value"),
        ("class = 'a'", 6, "'='", "an operator"),
        ("class == 'a", 9, "'\\''", "closing quote"),
        ("class == 'a' 'b'", 13, "the string \"b\"", "an operator or the end"),
        ("class == 'a' &&", 15, "the end", "a value"),
        ("(class == 'a'", 13, "the end", "\")\""),
        ("clas == 'a'", 0, "clas", "one of the fields: method, path"),
        ("class == 7", 9, "7, of type int", "string"),
        ("class", 0, "class, of type string", "bool"),
        ("key == 'a'", 0, "key, of type optional string", ".orValue("),
        ("budget > 5", 9, "5, of type int", "duration"),
        ("budget == 5q", 10, "'5'", "a number"),
        ("length == 99999999999999999999", 10, "99999999999999999999", "64 bits"),
        ("length / 0 == 1", 9, "a division by 0", "another number"),
        ("size(1) == 1", 5, "1, of type int", "string"),
        ("size() == 1", 0, "size of 0 values", "size(string)"),
        ("shout(class)", 0, "shout", "one of the functions: startsWith"),
        ("segments[40].orValue('') == ''", 9, "40", "from 0 to 31"),
        ("segments[length].orValue('') == ''", 9, "length", "a segment's number"),
        ("headers['bad name'].orValue('') == ''", 8, "'bad name'", "a header's name"),
        ("class in []", 9, "[]", "at least one"),
        ("class in [1]", 10, "1", "constant of type string"),
        ("class in class", 9, "class", "a list of constants"),
        ("path.matches(class)", 13, "class", "a pattern as a string"),
        ("path.matches('(')", 13, "the pattern \"(\"", "a pattern of bytes"),
        ("1 < 2 < 3", 6, "<", "one comparison"),
        ("true ? 1 : 'a'", 11, "'a', of type string", "int"),
        ("has(class)", 4, "class, of type string", "an optional value"),
        ("true ?", 6, "the end", "a value"),
        ("!length == 1", 1, "length, of type int", "bool"),
    ] {
        let fault = refused(when);
        assert_eq!(fault.at.from, at, "{when}: {fault:?}");
        assert!(fault.found.contains(found), "{when}: {fault:?}");
        assert!(fault.expected.contains(expected), "{when}: {fault:?}");
    }
}

#[test]
fn printed_expressions_parse_to_the_same_tree() {
    for text in [
        "a && (b || c) && !(d && e)",
        "(a ? b : c) ? d : e ? f : g",
        "-(-1) + 2 * (3 - 4) - (5 - 6) % 7",
        "!(a == b) && (a < b) == (c >= d)",
        "'it\\'s \\\\ \\n' + x['y'].orValue(\"z\") in ['a', 'b']",
        "90s + 1500ms + 1us + 0us + 2h",
        "f(a, b).g(c)[0].h()",
    ] {
        let once = parse(text).unwrap().to_string();
        let twice = parse(&once).unwrap_or_else(|f| panic!("{once}: {f}")).to_string();
        assert_eq!(once, twice, "{text}");
    }
}
