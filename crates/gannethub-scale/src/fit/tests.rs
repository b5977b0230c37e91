use super::*;

#[test]
fn known_slopes_are_recovered() {
    let rows: Vec<Vec<f64>> = (0..8)
        .map(|i| vec![1.0, f64::from(i * 100), f64::from(i * i)])
        .collect();
    let measured: Vec<f64> = rows
        .iter()
        .map(|r| 3.0 + 0.02 * r[1] + 0.5 * r[2])
        .collect();
    let fitted = least_squares(&rows, &measured).unwrap();
    for (slope, expected) in fitted.slopes.iter().zip([3.0, 0.02, 0.5]) {
        assert!((slope - expected).abs() < 1e-6, "{fitted:?}");
    }
    assert!(
        fitted.max_relative_residual < 1e-6
            && (fitted.value_at(&[1.0, 1000.0, 100.0]) - 73.0).abs() < 1e-3
    );
}

#[test]
fn collinear_or_too_few_runs_are_refused() {
    let collinear: Vec<Vec<f64>> = (1..8)
        .map(|i| vec![1.0, f64::from(i), f64::from(2 * i)])
        .collect();
    assert!(matches!(
        least_squares(&collinear, &[1.0; 7]),
        Err(FitError::Collinear(_))
    ));
    assert!(matches!(
        least_squares(&collinear[..3], &[1.0; 3]),
        Err(FitError::TooFew(3, 4))
    ));
}

#[test]
fn figures_have_three_significant_digits() {
    let shown = [1234.0, 12.34, 0.01234, 0.00001234].map(format_figure);
    assert_eq!(shown, ["1234", "12.3", "0.0123", "1.2e-5"]);
}
