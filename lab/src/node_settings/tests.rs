use super::*;

fn experiment() -> Experiment {
    Experiment::parse("test", "title = \"t\"\nseconds = 2.0").expect("an experiment")
}

fn parse_overrides(text: &str) -> toml::Table {
    toml::from_str(text).expect("a table")
}

#[test]
fn overrides_replace_only_the_settings_that_they_name() {
    let overrides = parse_overrides("[contracts.premiere]\nnever_over_rate = 0.0");
    let settings = settings(&experiment(), 1, &overrides).expect("known names");
    assert_eq!(settings["contracts"][2]["never_over_rate"], 0.0);
    assert_eq!(settings["contracts"][2]["refill"], 12.0);
    assert_eq!(settings["index"], 1);
}

#[test]
fn an_override_of_an_unknown_setting_is_refused_with_its_name() {
    let overrides = parse_overrides("[contracts.premier]\nrefill = 0.0");
    let error = settings(&experiment(), 1, &overrides).expect_err("an unknown plan");
    assert!(error.to_string().contains("'premier'"), "{error}");
}
