package relay

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/quota"
)

// Guards against a statement that another gateway takes for a newer one than it is, and against lost fields.
func TestQuotaMessages(t *testing.T) {
	const sent, received = 5 * time.Second, time.Minute
	statement := quota.Statement{Limited: true, Limit: 5.7, At: 3 * time.Second}
	want := quota.Statement{Limited: true, Limit: 5.7, At: received - 2*time.Second}
	report := quota.Report{Server: 9, Statement: statement, Usage: quota.Usage{Wanted: 1, Waiting: quota.Waiting{0, 2, 0, 5}, Used: 3, Returned: 4}}
	reports := DecodeQuotaReports(EncodeQuotaReports([]quota.Report{report}, sent), received)
	report.Statement = want
	if len(reports) != 1 || reports[0] != report {
		t.Errorf("reports %+v, want %+v", reports, report)
	}
	grant := quota.Grant{Server: 9, Statement: statement, Permits: 2, Waits: quota.Waits{0, 30 * time.Millisecond}}
	grants := DecodeQuotaGrants(EncodeQuotaGrants([]quota.Grant{grant}, sent), received)
	grant.Statement = want
	if len(grants) != 1 || grants[0] != grant {
		t.Errorf("grants %+v, want %+v", grants, grant)
	}
}
