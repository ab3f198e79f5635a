/** A call as the platform received it. */
export type ReceivedDutyCall = {
	/** Duty and subject. */
	readonly subject: string;
	/** Address of the sender. */
	readonly host: string;
	readonly token: number;
	/** Time of arrival, in milliseconds. */
	readonly at: number;
	/** Reports that must not differ if they are of the same name, with their content. */
	readonly report?: {readonly name: string; readonly content: string};
};

type Subject = {
	/** Host of each token. */
	readonly hosts: Map<number, string>;
	highest: number;
	/** Time of the last call of each host. */
	readonly lastAt: Map<string, number>;
};

/** Checks the calls that the platform received of singleton duties. Used by tests and stand-ins. */
export class CallAudit {
	/** @param leaseMs time within which a host may not act again after another one has acted, in milliseconds */
	static create(leaseMs: number): CallAudit {
		return new CallAudit(leaseMs);
	}

	private readonly _subjects = new Map<string, Subject>();
	private readonly _reports = new Map<string, string>();

	private constructor(private readonly _leaseMs: number) {}

	/** Notes a call. Returns what must not have happened; empty if all is well. */
	note(call: ReceivedDutyCall): readonly string[] {
		const {subject: name, host, token, at, report} = call;
		const subject = this._subjectOf(name);
		const faults: string[] = [];
		const tokenHost = subject.hosts.get(token);
		if (tokenHost !== undefined && tokenHost !== host) {
			faults.push(`token ${token} of ${tokenHost} sent by ${host}`);
		}

		if (token < subject.highest) {
			faults.push(`token ${token} of ${host} after ${subject.highest}`);
		}

		const ownAt = subject.lastAt.get(host) ?? Number.NEGATIVE_INFINITY;
		const between = [...subject.lastAt].find(
			([other, otherAt]) => other !== host && otherAt > ownAt,
		);
		if (between !== undefined && at - ownAt < this._leaseMs) {
			faults.push(
				`${host} acted before and after ${between[0]} within ${Math.round(at - ownAt)} ms`,
			);
		}

		subject.hosts.set(token, host);
		subject.highest = Math.max(subject.highest, token);
		subject.lastAt.set(host, at);
		if (report !== undefined) {
			const known = this._reports.get(report.name);
			if (known !== undefined && known !== report.content) {
				faults.push(`${report.name} has two contents`);
			}

			this._reports.set(report.name, report.content);
		}

		return faults;
	}

	private _subjectOf(name: string): Subject {
		let subject = this._subjects.get(name);
		if (subject === undefined) {
			subject = {
				hosts: new Map(),
				highest: Number.NEGATIVE_INFINITY,
				lastAt: new Map(),
			};
			this._subjects.set(name, subject);
		}

		return subject;
	}
}
