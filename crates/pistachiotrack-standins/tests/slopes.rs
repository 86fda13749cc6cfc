//! Tests of the line fitting and the sample sizes of the `slopes` command.

#[path = "../src/slopes/fit.rs"]
mod fit;
#[path = "../src/slopes/sample.rs"]
#[expect(dead_code, reason = "the command uses the rest")]
mod sample;
#[path = "../src/slopes/scale.rs"]
#[expect(dead_code, reason = "the command uses the rest")]
mod scale;

use fit::{Fit, Point, interpolate};
use pistachiotrack_core::{
    config::{Config, MAX_VALUE_BYTES},
    config_sync::{ConfigAction, ConfigSync},
    time::Time,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x51_0e5;
const CASES: u64 = 200;

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(50, SEED)).tests(CASES)
}

#[test]
fn fit_recovers_an_exact_line() {
    fn fit_matches_line(intercept: i16, slope: i16, sizes: Vec<u8>) -> bool {
        let line = |size: f64| f64::from(intercept) + f64::from(slope) * size;
        let mut points: Vec<Point> = sizes
            .into_iter()
            .map(f64::from)
            .map(|size| Point { size, value: line(size) })
            .collect();
        points.extend([0.0, 300.0].map(|size| Point { size, value: line(size) }));
        let fit = Fit::new(&points);
        (fit.value_at(5_800.0) - line(5_800.0)).abs() < 1.0
            && fit.r_squared > 0.999
            && fit.worst_residual < 1e-6
    }
    checker().quickcheck(fit_matches_line as fn(i16, i16, Vec<u8>) -> bool);
}

#[test]
fn fit_of_a_curve_has_large_residuals() {
    let points: Vec<Point> =
        (0..20).map(f64::from).map(|size| Point { size, value: size * size }).collect();
    let fit = Fit::new(&points);
    assert!(fit.r_squared < 0.95, "{fit:?}");
    assert!(fit.worst_residual > 0.1, "{fit:?}");
}

#[test]
fn insignificant_slope_is_zero() {
    let values = [677.0, 681.0, 676.0, 684.0, 668.0];
    let sizes = [12.0, 24.0, 48.0, 96.0, 192.0];
    let points: Vec<Point> =
        sizes.into_iter().zip(values).map(|(size, value)| Point { size, value }).collect();
    let fit = Fit::new(&points);
    assert_eq!(fit.slope, 0.0);
    assert!((fit.value_at(5_800.0) - 677.2).abs() < 0.01, "{fit:?}");
}

#[test]
fn values_between_points_are_interpolated() {
    let points = [(1.0, 10.0), (3.0, 20.0), (4.0, 0.0)].map(|(size, value)| Point { size, value });
    assert_eq!(interpolate(&points, 2.0), Some(15.0));
    assert_eq!(interpolate(&points, 4.0), Some(0.0));
    assert_eq!(interpolate(&points, 4.1), None);
    assert_eq!(interpolate(&points, 0.9), None);
}

/// Guards against a deployment of the target size that can't be changed any more, because its value
/// exceeds the platform's limit or every VM rejects it. Costs must also not be measured with an
/// invalid sample.
#[test]
fn one_deployment_fits_the_platform_value_limit() {
    let config = sample::config(scale::deployment());
    let json = sample::json(&config);
    assert!(json.len() <= MAX_VALUE_BYTES, "{} B", json.len());
    assert_eq!(Config::parse("platform", &json).as_ref(), Ok(&config));
}

/// Guards against a panic at the start of `slopes`: a VM without a configuration defers the
/// platform's first value until its peers have responded, and the measurement has no peers, so the
/// grace period must be 0.
#[test]
fn first_value_is_activated_without_grace() {
    let settings = sample::settings_without_first_value_grace();
    let mut sync = ConfigSync::new(sample::vm(0), sample::deployment_name(), settings, 1);
    let json = sample::json(&sample::config(scale::deployment()));
    let actions = sync.on_platform_value(Time::from_millis(1), Some(&json));
    let is_activation = |action: &ConfigAction| matches!(action, ConfigAction::Activate(_));
    assert!(actions.iter().any(is_activation), "{} actions", actions.len());
}
