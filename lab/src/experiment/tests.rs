use super::*;
use crate::error::ErrorChain;

/// An experiment file of an earlier version that has every field of the format.
const ALL_FIELDS: &str = include_str!("all-fields-of-73f2b76.toml");

/// Parses a file's text into its fields and values.
fn parse_table(text: &str) -> toml::Table {
    toml::from_str(text).expect("TOML")
}

#[test]
fn a_file_of_an_earlier_version_reads_back_field_by_field() {
    let experiment = Experiment::parse("all", ALL_FIELDS).expect("a valid experiment");
    let mut written = toml::Table::try_from(&experiment).expect("a table");
    let mut expected = parse_table(ALL_FIELDS);
    // The field `simulator` was called `drill` in earlier versions.
    for variants in [&mut written, &mut expected] {
        let first = variants["variants"][0].as_table_mut().expect("a variant");
        let program = first.remove("drill").or(first.remove("simulator"));
        assert_eq!(program, Some("old-adapter".into()));
    }
    assert_eq!(written, expected);
}

#[test]
fn renamed_kinds_of_faults_and_idempotency_keep_their_names_in_files() {
    let experiment = Experiment::parse("all", ALL_FIELDS).expect("a valid experiment");
    let kinds: Vec<FaultKind> = experiment.faults.iter().map(|fault| fault.kind).collect();
    let expected = [FaultKind::MalformedResponses, FaultKind::MisbehavingClients];
    assert_eq!(kinds, expected);
    assert_eq!(experiment.routes[0].idempotency, Idempotency::Keyed);
    let scope = experiment.routes[0].deduplication_scope;
    assert_eq!(scope, DeduplicationScope::Cell);
}

#[test]
fn changes_of_a_variant_go_by_the_names_in_files() {
    let experiment = Experiment::parse("all", ALL_FIELDS).expect("a valid experiment");
    let changed = experiment
        .with_variant(&experiment.variants[0])
        .expect("a valid variant");
    assert_eq!(changed.load.request_rate, 30.0);
    assert_eq!(changed.plans[0].concurrency_limit, 4.0);
    assert_eq!(changed.fleet.slow_start, experiment.fleet.slow_start);
}

#[test]
fn a_missing_file_is_reported_with_its_name_and_the_cause() {
    let error = Experiment::load("no/such.toml").expect_err("no file");
    let text = ErrorChain(&error).to_string();
    let prefix = "no/such.toml: cannot be read: ";
    assert!(
        text.starts_with(prefix) && text.len() > prefix.len(),
        "{text}"
    );
}
