package relay

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/urgency"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// EncodeQuotaReports encodes the reports of a gateway on limited backend servers. now is the time of the sender.
func EncodeQuotaReports(reports []quota.Report, now time.Duration) []*wire.QuotaReport {
	var messages []*wire.QuotaReport
	for _, report := range reports {
		messages = append(messages, &wire.QuotaReport{
			Statement: encodeStatement(report.Server, report.Kind, report.Statement, now),
			Wanted:    uint32(report.Usage.Wanted),
			Waiting:   encodeWaiting(report.Usage.Waiting),
			Used:      uint32(report.Usage.Used),
			Returned:  uint32(report.Usage.Returned),
		})
	}
	return messages
}

// DecodeQuotaReports decodes reports on limited backend servers. now is the time of the receiver.
func DecodeQuotaReports(messages []*wire.QuotaReport, now time.Duration) []quota.Report {
	var reports []quota.Report
	for _, message := range messages {
		reports = append(reports, quota.Report{
			Server:    message.GetStatement().GetServer(),
			Kind:      decodeLimitKind(message.GetStatement().GetKind()),
			Statement: decodeStatement(message.GetStatement(), now),
			Usage: quota.Usage{
				Wanted: int(message.Wanted), Waiting: decodeWaiting(message.Waiting), Used: int(message.Used), Returned: int(message.Returned),
			},
		})
	}
	return reports
}

// EncodeQuotaGrants encodes what a gateway is allocated. now is the time of the sender.
func EncodeQuotaGrants(grants []quota.Grant, now time.Duration) []*wire.QuotaGrant {
	var messages []*wire.QuotaGrant
	for _, grant := range grants {
		messages = append(messages, &wire.QuotaGrant{
			Statement: encodeStatement(grant.Server, grant.Kind, grant.Statement, now),
			Permits:   uint32(grant.Permits),
			WaitsMs:   encodeWaits(grant.Waits),
		})
	}
	return messages
}

// DecodeQuotaGrants decodes what a gateway is allocated. now is the time of the receiver.
func DecodeQuotaGrants(messages []*wire.QuotaGrant, now time.Duration) []quota.Grant {
	var grants []quota.Grant
	for _, message := range messages {
		grants = append(grants, quota.Grant{
			Server:    message.GetStatement().GetServer(),
			Kind:      decodeLimitKind(message.GetStatement().GetKind()),
			Statement: decodeStatement(message.GetStatement(), now),
			Permits:   int(message.Permits),
			Waits:     decodeWaits(message.WaitsMs),
		})
	}
	return grants
}

// encodeStatement encodes a time as an age, because the clocks of gateways differ.
func encodeStatement(server uint32, kind quota.Kind, statement quota.Statement, now time.Duration) *wire.RateStatement {
	age := max(0, now-statement.At)
	return &wire.RateStatement{
		Server: server, Limited: statement.Limited, Limit: statement.Limit, AgeMs: uint32(age.Milliseconds()),
		Kind: limitKinds[kind],
	}
}

// limitKinds maps kinds of limits to their encoded form.
var limitKinds = map[quota.Kind]wire.LimitKind{
	quota.KindNamed:     wire.LimitKind_LIMIT_KIND_NAMED,
	quota.KindSlowStart: wire.LimitKind_LIMIT_KIND_SLOW_START,
}

func decodeLimitKind(kind wire.LimitKind) quota.Kind {
	if kind == wire.LimitKind_LIMIT_KIND_SLOW_START {
		return quota.KindSlowStart
	}
	return quota.KindNamed
}

func decodeStatement(message *wire.RateStatement, now time.Duration) quota.Statement {
	return quota.Statement{
		Limited: message.GetLimited(),
		Limit:   message.GetLimit(),
		At:      now - time.Duration(message.GetAgeMs())*time.Millisecond,
	}
}

func encodeWaiting(waiting quota.Waiting) []uint32 {
	counts := make([]uint32, len(waiting))
	for level, count := range waiting {
		counts[level] = uint32(count)
	}
	return counts
}

func decodeWaiting(counts []uint32) quota.Waiting {
	var waiting quota.Waiting
	for level, count := range counts {
		waiting[urgency.Level(level)] += int(count)
	}
	return waiting
}

func encodeWaits(waits quota.Waits) []uint32 {
	ms := make([]uint32, len(waits))
	for level, wait := range waits {
		ms[level] = uint32(wait.Milliseconds())
	}
	return ms
}

func decodeWaits(ms []uint32) quota.Waits {
	var waits quota.Waits
	for level, wait := range ms {
		waits[urgency.Level(level)] = time.Duration(wait) * time.Millisecond
	}
	return waits
}
