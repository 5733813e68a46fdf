//! What a quantity does over a size: least squares for four shapes, and which of them it is.

use super::report::Shape;

/// Largest residual at which a shape counts as right whatever a richer one leaves: counts are exact, times are not.
const CLOSE: f64 = 0.03;
/// What leaves no more than this is right, whatever a richer one leaves: digits of numbers come to so much.
const EXACT: f64 = 0.005;
/// A richer shape that leaves less than this part of what a close one leaves is no noise: it is the right one.
const CLEAR: f64 = 0.05;
/// A richer shape has to leave less than this part of what the simpler one leaves.
const BETTER: f64 = 0.5;
const SHAPES: [Shape; 4] = [Shape::Flat, Shape::Linear, Shape::NLogN, Shape::Quadratic];

/// A shape laid through points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Which.
    pub shape: Shape,
    /// What one more of the shape's own measure adds.
    pub per_unit: f64,
    /// What it is at size 0.
    pub fixed: f64,
    /// Root of the mean square of what is left, as a share of the largest value.
    pub residual: f64,
}

impl Shape {
    /// A size in the shape's own measure.
    pub fn measure(self, size: f64) -> f64 {
        match self {
            Self::Flat => 0.0,
            Self::Linear => size,
            Self::NLogN => size * size.max(1.0).log2(),
            Self::Quadratic => size * size,
        }
    }
}

impl Fit {
    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.per_unit * self.shape.measure(size)
    }

    /// Lays one shape through points.
    pub fn through(points: &[(f64, f64)], shape: Shape) -> Self {
        let n = points.len().max(1) as f64;
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(&|p| shape.measure(p.0)), mean(&|p| p.1));
        let spread = mean(&|p| (shape.measure(p.0) - x).powi(2));
        let along = mean(&|p| (shape.measure(p.0) - x) * (p.1 - y));
        let per_unit = if spread > 0.0 { along / spread } else { 0.0 };
        let mut fit = Self { shape, per_unit, fixed: y - per_unit * x, residual: 0.0 };
        let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let left = mean(&|p| (p.1 - fit.at(p.0)).powi(2)).sqrt();
        fit.residual = if largest > 0.0 { left / largest } else { 0.0 };
        fit
    }
}

/// The simplest shape that does: one that is exact, one that is close while no richer one is exact beside it, or one that
/// no richer one betters by much.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let fits = SHAPES.map(|shape| Fit::through(points, shape));
    let least = fits.iter().map(|f| f.residual).fold(f64::INFINITY, f64::min);
    let close = |f: &Fit| f.residual <= CLOSE && least >= CLEAR * f.residual;
    let does = |f: &&Fit| f.residual <= EXACT || f.residual <= least / BETTER || close(f);
    *fits.iter().find(does).unwrap_or(&fits[0])
}
