//! Feature flags of the decision mechanisms.

use pistachiotrack_core::feature_flags::FeatureFlags;

/// An experiment disables only the mechanisms that it names. A misspelt name is an error, as it
/// would otherwise look like a mechanism without effect.
#[test]
fn only_named_mechanisms_are_disabled() {
    let flags: FeatureFlags = serde_json::from_str(r#"{"coverage": false}"#).unwrap();
    assert_eq!(flags, FeatureFlags { coverage: false, ..FeatureFlags::default() });
    let misspelt = serde_json::from_str::<FeatureFlags>(r#"{"covrage": false}"#).unwrap_err();
    assert!(misspelt.to_string().contains("covrage"), "{misspelt}");
}
