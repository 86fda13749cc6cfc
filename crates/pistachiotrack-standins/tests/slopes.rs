//! The straight lines of the `slopes` command and the sizes that they start
//! from.

#[path = "../src/slopes/fit.rs"]
mod fit;
#[path = "../src/slopes/sample.rs"]
#[expect(dead_code, reason = "the command uses the rest")]
mod sample;
#[path = "../src/slopes/scale.rs"]
#[expect(dead_code, reason = "the command uses the rest")]
mod scale;

use fit::{Fit, Point, between};
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
fn points_on_a_line_give_that_line() {
    fn holds(intercept: i16, slope: i16, sizes: Vec<u8>) -> bool {
        let line = |size: f64| f64::from(intercept) + f64::from(slope) * size;
        let mut points: Vec<Point> = sizes
            .into_iter()
            .map(f64::from)
            .map(|size| Point { size, value: line(size) })
            .collect();
        points.extend([0.0, 300.0].map(|size| Point { size, value: line(size) }));
        let fit = Fit::new(&points);
        (fit.at(5_800.0) - line(5_800.0)).abs() < 1.0
            && fit.r_squared > 0.999
            && fit.worst_residual < 1e-6
    }
    checker().quickcheck(holds as fn(i16, i16, Vec<u8>) -> bool);
}

#[test]
fn a_curve_shows_in_the_error() {
    let points: Vec<Point> =
        (0..20).map(f64::from).map(|size| Point { size, value: size * size }).collect();
    let fit = Fit::new(&points);
    assert!(fit.r_squared < 0.95, "{fit:?}");
    assert!(fit.worst_residual > 0.1, "{fit:?}");
}

#[test]
fn scatter_alone_gives_no_slope() {
    let values = [677.0, 681.0, 676.0, 684.0, 668.0];
    let sizes = [12.0, 24.0, 48.0, 96.0, 192.0];
    let points: Vec<Point> =
        sizes.into_iter().zip(values).map(|(size, value)| Point { size, value }).collect();
    let fit = Fit::new(&points);
    assert_eq!(fit.slope, 0.0);
    assert!((fit.at(5_800.0) - 677.2).abs() < 0.01, "{fit:?}");
}

#[test]
fn values_between_points_don_t_come_from_the_line() {
    let points = [(1.0, 10.0), (3.0, 20.0), (4.0, 0.0)].map(|(size, value)| Point { size, value });
    assert_eq!(between(&points, 2.0), Some(15.0));
    assert_eq!(between(&points, 4.0), Some(0.0));
    assert_eq!(between(&points, 4.1), None);
    assert_eq!(between(&points, 0.9), None);
}

/// Operators publish a deployment of the size to design for and the platform
/// turns the value away, or every VM rejects it: the deployment can't be
/// changed any more. The cause would be a value over the platform's limit, or
/// a sample that isn't a valid configuration, which no cost should rest on.
#[test]
fn an_even_share_of_the_design_size_fits_the_platform() {
    let config = sample::config(scale::deployment());
    let json = sample::json(&config);
    assert!(json.len() <= MAX_VALUE_BYTES, "{} B", json.len());
    assert_eq!(Config::parse("platform", &json).as_ref(), Ok(&config));
}

/// An operator runs `slopes` and it ends at once with a panic: a VM that has no
/// configuration holds the platform's first value back to hear its peers, and the
/// measurement has none. It needs a VM that doesn't wait.
#[test]
fn a_measured_vm_takes_its_first_value_at_once() {
    let settings = sample::accepting_at_once();
    let mut sync = ConfigSync::new(sample::vm(0), sample::deployment_name(), settings, 1);
    let json = sample::json(&sample::config(scale::deployment()));
    let actions = sync.on_platform_value(Time::from_millis(1), Some(&json));
    let in_force = |action: &ConfigAction| matches!(action, ConfigAction::Activate(_));
    assert!(actions.iter().any(in_force), "{} actions", actions.len());
}
