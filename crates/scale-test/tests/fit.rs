//! Lines by least squares, and what of a report they are put through.

use sableloom_scale_test::fit::Fit;
use sableloom_scale_test::report::RunReport;

#[test]
fn a_line_is_found_with_its_residual() {
    let fit = Fit::of(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).expect("a line");
    assert_eq!((fit.slope, fit.intercept), (2.0, 1.0));
    assert_eq!((fit.r_squared, fit.max_residual), (1.0, 0.0));
    let fit = Fit::of(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]).expect("a line");
    assert!((fit.slope, fit.r_squared) == (0.0, 0.0), "{fit:?}");
    assert!((fit.max_residual - 2.0 / 3.0).abs() < 1e-12, "{fit:?}");
}

#[test]
fn one_size_makes_no_line() {
    assert_eq!(Fit::of(&[]), None);
    assert_eq!(Fit::of(&[(5.0, 1.0), (5.0, 2.0)]), None);
}

#[test]
fn beyond_the_largest_size_is_extrapolated() {
    let fit = Fit::of(&[(100.0, 1.0), (200.0, 2.0)]).expect("a line");
    assert!(!fit.extrapolated(200.0) && fit.extrapolated(201.0));
    assert!((fit.at(7600.0) - 76.0).abs() < 1e-9);
}

#[test]
fn void_values_are_in_no_line() {
    let mut report = RunReport::default();
    report.add("bytes", "balancers", 1.0, 10.0, None);
    report.add("bytes", "balancers", 2.0, 20.0, None);
    report.add("bytes", "balancers", 3.0, 999.0, Some("machine 99% busy"));
    report.fit();
    assert_eq!(report.fits.len(), 1);
    assert_eq!((report.fits[0].fit.slope, report.fits[0].fit.largest), (10.0, 2.0));
    assert!(report.table().contains("VOID: machine 99% busy"), "{}", report.table());
}
