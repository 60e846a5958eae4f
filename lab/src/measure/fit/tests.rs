use super::LinearFit;

#[test]
fn a_fit_returns_slope_intercept_and_standard_error() {
    struct Case {
        points: &'static [(f64, f64)],
        slope: f64,
        intercept: f64,
        error: f64,
    }
    let cases = [
        Case {
            points: &[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)],
            slope: 2.0,
            intercept: 3.0,
            error: 0.0,
        },
        Case {
            points: &[(0.0, 1.0), (1.0, 1.0), (2.0, 4.0)],
            slope: 1.5,
            intercept: 0.5,
            error: 0.866,
        },
    ];
    for case in cases {
        let fit = LinearFit::fit(case.points);
        assert!((fit.slope - case.slope).abs() < 1e-9, "{fit:?}");
        assert!((fit.intercept - case.intercept).abs() < 1e-9, "{fit:?}");
        assert!((fit.slope_error - case.error).abs() < 1e-3, "{fit:?}");
    }
}
