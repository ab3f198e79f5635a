import type {PlanResult} from '@balsamtray/protocol';

/** A plan for a valid document. */
export type Plan = Extract<PlanResult, {kind: 'planned'}>;

/** Describes a plan, one string per line. Destructive changes begin with "!". */
export function describePlan(plan: Plan): readonly string[] {
	const head = `based on version ${plan.baseVersion}, document ${plan.digest}`;
	if (plan.lines.length === 0) {
		return [head, 'no changes'];
	}

	const lines = plan.lines.map(
		({text, isDestructive}) => `${isDestructive ? '!' : ' '} ${text}`,
	);
	return [head, ...lines];
}

/** Whether the plan contains a destructive change: one that breaks something that works for callers now. */
export function isDestructive(plan: Plan): boolean {
	return plan.lines.some(line => line.isDestructive);
}
