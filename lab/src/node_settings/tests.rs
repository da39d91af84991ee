use super::*;

#[test]
fn what_is_told_lies_over_the_truth_or_names_what_is_missing() {
    let experiment = Experiment::read("test", "title = \"t\"\nseconds = 2.0").expect("a whole one");
    let told: toml::Table = toml::from_str("[contracts.premiere]\nnever_over_rate = 0.0").unwrap();
    let settings = settings(&experiment, 1, &told).expect("known names");
    assert_eq!(settings["contracts"][2]["never_over_rate"], 0.0);
    assert_eq!(settings["contracts"][2]["refill"], 12.0);
    assert_eq!(settings["index"], 1);
    let told: toml::Table = toml::from_str("[contracts.premier]\nrefill = 0.0").unwrap();
    let why = super::settings(&experiment, 1, &told).unwrap_err();
    assert!(why.contains("'premier'"), "{why}");
}
