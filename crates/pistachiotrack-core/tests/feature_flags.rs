//! Switches of the mechanisms, as trials use them.

use pistachiotrack_core::feature_flags::FeatureFlags;

/// A trial names what it switches off; all else stays at work, and a name that was
/// misspelt must not pass for a trial that shows no difference.
#[test]
fn a_trial_switches_off_what_it_names_and_nothing_else() {
    let without: FeatureFlags = serde_json::from_str(r#"{"coverage": false}"#).unwrap();
    assert_eq!(without, FeatureFlags { coverage: false, ..FeatureFlags::default() });
    let misspelt = serde_json::from_str::<FeatureFlags>(r#"{"covrage": false}"#).unwrap_err();
    assert!(misspelt.to_string().contains("covrage"), "{misspelt}");
}
