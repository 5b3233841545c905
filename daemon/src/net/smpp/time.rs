//! Times in the format of SMPP: `YYMMDDhhmmsstnnp`, where a final `R` marks a relative time.

use onyxrock::interface::Micros;

const SECONDS_PER_DAY: i64 = 86_400;

/// Days from 1970 to a date of the civil calendar. Years begin in March here, so that a leap day is the
/// last day of its year.
fn days_from_date(year: i64, month: i64, day: i64) -> i64 {
    let (shifted_year, shifted_month) = if month <= 2 { (year - 1, month + 9) } else { (year, month - 3) };
    let era = shifted_year.div_euclid(400);
    let year_of_era = shifted_year - era * 400;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100
        + (153 * shifted_month + 2) / 5
        + day
        - 1
        - 719_468
}

/// Year, month and day of a number of days since 1970.
fn date_from_days(day_count: i64) -> (i64, i64, i64) {
    let shifted = day_count + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    (year + era * 400 + i64::from(month <= 2), month, day_of_year - (153 * shifted_month + 2) / 5 + 1)
}

/// Time from `now` to the end of a validity period. `None` if the text is not a valid period.
pub fn validity(text: &str, now: Micros) -> Option<Micros> {
    let bytes = text.as_bytes();
    if bytes.len() != 16 || !bytes[..15].iter().all(u8::is_ascii_digit) {
        return None;
    }
    let two_digits = |index: usize| i64::from(bytes[index] - b'0') * 10 + i64::from(bytes[index + 1] - b'0');
    let (year, month, day) = (two_digits(0), two_digits(2), two_digits(4));
    let seconds = two_digits(6) * 3600 + two_digits(8) * 60 + two_digits(10);
    let tenths = i64::from(bytes[12] - b'0');
    let utc_offset = two_digits(13) * 900;
    let offset = match bytes[15] {
        b'R' => {
            // A relative year and month have no fixed length; 365 and 30 days are usual.
            let relative_seconds = (year * 365 + month * 30 + day) * SECONDS_PER_DAY + seconds;
            return Some(Micros(relative_seconds as u64 * 1_000_000));
        }
        b'+' => -utc_offset,
        b'-' => utc_offset,
        _ => return None,
    };
    if !(1..=12).contains(&month) || !(1..=31).contains(&day) {
        return None;
    }
    let unix_seconds = days_from_date(2000 + year, month, day) * SECONDS_PER_DAY + seconds + offset;
    let end = Micros(u64::try_from(unix_seconds).ok()? * 1_000_000 + tenths as u64 * 100_000);
    Some(end.since(now))
}

/// A time in the format of receipts, `YYMMDDhhmm`.
pub fn receipt_time(time: Micros) -> String {
    let unix_seconds = (time.0 / 1_000_000) as i64;
    let (year, month, day) = date_from_days(unix_seconds.div_euclid(SECONDS_PER_DAY));
    let second_of_day = unix_seconds.rem_euclid(SECONDS_PER_DAY);
    format!(
        "{:02}{month:02}{day:02}{:02}{:02}",
        year.rem_euclid(100),
        second_of_day / 3600,
        second_of_day / 60 % 60
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn relative_and_absolute_periods_are_parsed() {
        let now = Micros(1_796_083_200_000_000); // 2026-12-01 00:00 UTC
        assert_eq!(receipt_time(now), "2612010000");
        assert_eq!(validity("000000000005000R", now), Some(Micros(5_000_000)));
        assert_eq!(validity("000001020304000R", now), Some(Micros((86_400 + 7384) * 1_000_000)));
        assert_eq!(validity("261201000010500+", now), Some(Micros(10_500_000)));
        assert_eq!(validity("2612010100100", now), None);
        assert_eq!(validity("261201080010032+", now), Some(Micros(10_000_000)), "eight hours ahead of UTC");
        assert_eq!(validity("261130000000000+", now), Some(Micros(0)), "already over");
        assert_eq!(validity("261301000000000+", now), None, "no such month");
    }

    #[test]
    fn dates_survive_a_round_trip() {
        for day in [0, 59, 60, 365, 11_016, 20_788, 47_540] {
            let (year, month, of_month) = date_from_days(day);
            assert_eq!(days_from_date(year, month, of_month), day);
        }
        assert_eq!(date_from_days(11_016), (2000, 2, 29));
    }
}
