//! Parsers with arbitrary bytes and damaged files: they never panic, and the size of their errors is
//! limited by the size of the input.

use monsooncart_config::{error, fleet, settings, text};

/// Maximum number of errors, including the one that says that there are more.
const MAX_PROBLEMS: usize = 1001;

const FLEET: &str = include_str!("../../../examples/thistlegate.jsonc");

const SETTINGS: &str = include_str!("../../../examples/settings.jsonc");

/// A value of one byte can cause a message with a path, the longest description of a valid value and
/// a short excerpt.
const MAX_MESSAGE_BYTES_PER_INPUT_BYTE: usize = 1200;

/// Checks that the errors are limited in size and that their positions are in the file.
fn check_errors(input: &str, errors: &error::Errors) {
    let lines = input.split('\n').count();
    let longest = input.split('\n').map(|line| line.chars().count()).max();
    assert!(!errors.0.is_empty());
    assert!(errors.0.len() <= MAX_PROBLEMS);
    for error in &errors.0 {
        assert!((1..=lines).contains(&error.line), "{error}");
        assert!(
            (1..=longest.unwrap_or(0) + 1).contains(&error.column),
            "{error}"
        );
    }
    let ratio = errors.to_string().len() / (input.len() + 1);
    assert!(
        ratio <= MAX_MESSAGE_BYTES_PER_INPUT_BYTE,
        "{ratio} bytes of messages for each byte"
    );
}

fn parse_both(input: &str) {
    if let Err(errors) = fleet::Fleet::parse("f", input) {
        check_errors(input, &errors);
    }
    if let Err(errors) = settings::Settings::parse("f", input) {
        check_errors(input, &errors);
    }
}

/// Removes, duplicates or overwrites a few pieces of `base`.
fn damage(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    base: &str,
) -> arbtest::arbitrary::Result<String> {
    let mut bytes = base.as_bytes().to_vec();
    for _ in 0..u.int_in_range(1..=8)? {
        let start = u.int_in_range(0..=bytes.len() - 1)?;
        let end = (start + u.int_in_range(0..=30)?).min(bytes.len());
        let piece = bytes[start..end].to_vec();
        match u.int_in_range(0..=3)? {
            0 => drop(bytes.drain(start..end)),
            1 => drop(bytes.splice(start..start, piece)),
            2 => bytes[start] = u.arbitrary()?,
            _ => {
                let token = u.choose(&[
                    "null", "{", "[", "\"\"", "-1", ":", ",", "/*", "\n", "1e999",
                ])?;
                drop(bytes.splice(start..end, token.bytes()));
            }
        }
        if bytes.is_empty() {
            bytes.push(b' ');
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[test]
fn parsing_any_bytes_does_not_panic() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;

        match text::decode("f", bytes) {
            Ok(input) => parse_both(&input),
            Err(errors) => assert_eq!(errors.0.len(), 1),
        }
        Ok(())
    });
}

#[test]
fn parsing_any_tokens_does_not_panic() {
    const TOKENS: [&str; 16] = [
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"zones\"",
        "\"services\"",
        "\"name\"",
        "\"10%\"",
        "1",
        "null",
        "true",
        "// x\n",
        "\"\\u0000\"",
        "\"platform\"",
    ];
    arbtest::arbtest(|u| {
        let mut input = String::new();
        for _ in 0..u.int_in_range(0..=60)? {
            input.push_str(u.choose(&TOKENS)?);
        }

        parse_both(&input);
        Ok(())
    });
}

#[test]
fn parsing_damaged_files_does_not_panic() {
    arbtest::arbtest(|u| {
        let base = if u.arbitrary()? { FLEET } else { SETTINGS };
        let input = damage(u, base)?;

        parse_both(&input);
        Ok(())
    })
    .size_min(256)
    .budget_ms(2_000);
}

#[test]
fn deep_nesting_is_rejected() {
    for open in ["[", "{\"zones\":"] {
        let input = open.repeat(100_000);

        let parsed = fleet::Fleet::parse("f", &input);

        assert!(parsed.is_err());
    }
}

#[test]
fn problems_beyond_the_limit_are_not_reported() {
    let zones = "7,".repeat(5000);
    let input = format!("{{ \"zones\": [{zones}], \"services\": [], \"organisations\": [] }}");

    let errors = fleet::Fleet::parse("f", &input).unwrap_err();

    assert_eq!(errors.0.len(), MAX_PROBLEMS);
    let last = errors.0.last().map(|error| &error.problem);
    assert_eq!(last, Some(&error::Problem::TooMany { limit: 1000 }));
}

#[test]
fn parsed_fleets_round_trip() {
    for file in [
        FLEET,
        include_str!("../../../examples/aigaion.jsonc"),
        include_str!("../../../examples/one-server.jsonc"),
    ] {
        let first = fleet::Fleet::parse("f", file).unwrap().value;

        let json = serde_json::to_string_pretty(&first).unwrap();
        let second = fleet::Fleet::parse("f", &json).unwrap().value;

        assert_eq!(first, second);
    }
}
