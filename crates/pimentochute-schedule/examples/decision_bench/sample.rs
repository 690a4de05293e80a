//! Seeded random numbers (splitmix64).

/// A generator that gives the same numbers for the same seed.
#[derive(Debug, Clone)]
pub struct SampleRng(u64);

impl SampleRng {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `end`, which is not zero.
    pub fn below(&mut self, end: usize) -> usize {
        (self.next() % end as u64) as usize
    }

    /// Returns a number from zero up to one.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns one of the values, each with the same probability.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }

    /// Returns a number between `low` and `high`, uniform on a logarithmic scale.
    pub fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        (low.ln() + self.unit() * (high / low).ln()).exp()
    }
}
