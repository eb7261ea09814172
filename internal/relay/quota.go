package relay

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// EncodeQuotaReports encodes the reports of a gateway on limited backend servers. now is the time of the sender.
func EncodeQuotaReports(reports []quota.Report, now time.Duration) []*wire.QuotaReport {
	var messages []*wire.QuotaReport
	for _, report := range reports {
		messages = append(messages, &wire.QuotaReport{
			Statement: encodeStatement(report.Server, report.Statement, now),
			Wanted:    uint32(report.Usage.Wanted),
			Waiting:   uint32(report.Usage.Waiting),
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
			Statement: decodeStatement(message.GetStatement(), now),
			Usage: quota.Usage{
				Wanted: int(message.Wanted), Waiting: int(message.Waiting), Used: int(message.Used), Returned: int(message.Returned),
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
			Statement: encodeStatement(grant.Server, grant.Statement, now),
			Permits:   uint32(grant.Permits),
			WaitMs:    uint32(grant.Wait.Milliseconds()),
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
			Statement: decodeStatement(message.GetStatement(), now),
			Permits:   int(message.Permits),
			Wait:      time.Duration(message.WaitMs) * time.Millisecond,
		})
	}
	return grants
}

// encodeStatement encodes a time as an age, because the clocks of gateways differ.
func encodeStatement(server uint32, statement quota.Statement, now time.Duration) *wire.RateStatement {
	age := max(0, now-statement.At)
	return &wire.RateStatement{
		Server: server, Limited: statement.Limited, Limit: statement.Limit, AgeMs: uint32(age.Milliseconds()),
	}
}

func decodeStatement(message *wire.RateStatement, now time.Duration) quota.Statement {
	return quota.Statement{
		Limited: message.GetLimited(),
		Limit:   message.GetLimit(),
		At:      now - time.Duration(message.GetAgeMs())*time.Millisecond,
	}
}
