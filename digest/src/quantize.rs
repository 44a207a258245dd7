//! Quantization of load values to small integers: exact in eighths up to 8 and in whole numbers up to 32,
//! beyond that in sixteen steps per doubling, with an error of at most 3.1%. Never fails: negative and
//! non-finite values become 0.

/// Number of codes that represent exact eighths.
const EXACT_CODES: u32 = 64;
/// Codes per doubling of the value beyond the exact ones.
const STEPS_PER_DOUBLING: u32 = 16;

/// Returns the code of a value. Codes 0 to 127 take one byte in a frame, others two.
pub fn quantize(value: f64) -> u16 {
    let eighths = if value.is_finite() { (value * 8.0).round().clamp(0.0, 1e12) } else { 0.0 };
    if eighths < f64::from(EXACT_CODES) {
        return eighths as u16;
    }
    let doublings = (eighths / f64::from(EXACT_CODES)).log2().floor();
    let step = ((eighths / (f64::from(EXACT_CODES) * doublings.exp2()) - 1.0)
        * f64::from(STEPS_PER_DOUBLING))
    .round();
    (f64::from(EXACT_CODES) + doublings * f64::from(STEPS_PER_DOUBLING) + step) as u16
}

/// Returns the value of a code.
pub fn dequantize(code: u16) -> f64 {
    let code = u32::from(code);
    if code < EXACT_CODES {
        return f64::from(code) / 8.0;
    }
    let (doublings, step) =
        ((code - EXACT_CODES) / STEPS_PER_DOUBLING, (code - EXACT_CODES) % STEPS_PER_DOUBLING);
    f64::from(EXACT_CODES) / 8.0
        * f64::from(doublings).exp2()
        * (1.0 + f64::from(step) / f64::from(STEPS_PER_DOUBLING))
}
