//! Result codes: the table for people and the code can't drift apart.

use chicoryrail_core::ResultCode;

const TABLE: &str = include_str!("../../../docs/RESULT-CODES.md");

#[test]
fn the_table_holds_each_code_once_in_order() {
    let rows: Vec<String> = TABLE
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| code "))
        .map(ToOwned::to_owned)
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|c| {
            format!(
                "| {} | {} | {} | {} |",
                c.number(),
                c.status(),
                c.run(),
                c.text()
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn a_number_names_one_code() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(999), None);
}

#[test]
fn each_code_but_success_says_once_what_to_do() {
    let mut advised: Vec<u16> = TABLE
        .lines()
        .filter_map(|line| line.strip_prefix("- ")?.split_once(':'))
        .flat_map(|(codes, _)| codes.split(", "))
        .map(|code| code.parse().expect("a list of codes"))
        .collect();
    advised.sort_unstable();
    let all = ResultCode::ALL.iter().map(|c| c.number());
    assert_eq!(advised, all.filter(|n| *n > 0).collect::<Vec<_>>());
}
