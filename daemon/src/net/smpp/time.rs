//! Times as SMPP writes them: `YYMMDDhhmmsstnnp`, relative with `R` at the end.

use onyxrock::interface::Micros;

const DAY: i64 = 86_400;

/// Days since 1970 of a date (the civil calendar, from March on).
fn days(year: i64, month: i64, day: i64) -> i64 {
    let (y, m) = if month <= 2 { (year - 1, month + 9) } else { (year, month - 3) };
    let era = y.div_euclid(400);
    let of_era = y - era * 400;
    era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + (153 * m + 2) / 5 + day - 1 - 719_468
}

/// Year, month and day of a number of days since 1970.
fn date(days: i64) -> (i64, i64, i64) {
    let z = days + 719_468;
    let era = z.div_euclid(146_097);
    let of_era = z.rem_euclid(146_097);
    let year = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let m = (5 * of_year + 2) / 153;
    let month = if m < 10 { m + 3 } else { m - 9 };
    (year + era * 400 + i64::from(month <= 2), month, of_year - (153 * m + 2) / 5 + 1)
}

/// How long after `now` a validity period ends. None if it is not one.
pub fn validity(text: &str, now: Micros) -> Option<Micros> {
    let b = text.as_bytes();
    if b.len() != 16 || !b[..15].iter().all(u8::is_ascii_digit) {
        return None;
    }
    let n = |at: usize| i64::from(b[at] - b'0') * 10 + i64::from(b[at + 1] - b'0');
    let (year, month, day) = (n(0), n(2), n(4));
    let seconds = n(6) * 3600 + n(8) * 60 + n(10);
    let tenths = i64::from(b[12] - b'0');
    let quarters = n(13) * 900;
    let at = match b[15] {
        b'R' => {
            // A relative year and month have no fixed length; these are the usual ones.
            let span = (year * 365 + month * 30 + day) * DAY + seconds;
            return Some(Micros(span as u64 * 1_000_000));
        }
        b'+' => -quarters,
        b'-' => quarters,
        _ => return None,
    };
    if !(1..=12).contains(&month) || !(1..=31).contains(&day) {
        return None;
    }
    let unix = days(2000 + year, month, day) * DAY + seconds + at;
    let at = Micros(u64::try_from(unix).ok()? * 1_000_000 + tenths as u64 * 100_000);
    Some(at.since(now))
}

/// `YYMMDDhhmm`, as receipts write it.
pub fn receipt(at: Micros) -> String {
    let secs = (at.0 / 1_000_000) as i64;
    let (y, m, d) = date(secs.div_euclid(DAY));
    let of_day = secs.rem_euclid(DAY);
    format!("{:02}{m:02}{d:02}{:02}{:02}", y.rem_euclid(100), of_day / 3600, of_day / 60 % 60)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn periods_are_read_both_ways() {
        let now = Micros(1_796_083_200_000_000); // 2026-12-01 00:00 UTC
        assert_eq!(receipt(now), "2612010000");
        assert_eq!(validity("000000000005000R", now), Some(Micros(5_000_000)));
        assert_eq!(validity("000001020304000R", now), Some(Micros((86_400 + 7384) * 1_000_000)));
        assert_eq!(validity("261201000010500+", now), Some(Micros(10_500_000)));
        assert_eq!(validity("2612010100100", now), None);
        assert_eq!(validity("261201080010032+", now), Some(Micros(10_000_000)), "eight hours ahead of UTC");
        assert_eq!(validity("261130000000000+", now), Some(Micros(0)), "over already");
        assert_eq!(validity("261301000000000+", now), None, "no such month");
    }

    #[test]
    fn dates_come_back() {
        for day in [0, 59, 60, 365, 11_016, 20_788, 47_540] {
            let (y, m, d) = date(day);
            assert_eq!(days(y, m, d), day);
        }
        assert_eq!(date(11_016), (2000, 2, 29));
    }
}
