import type {PlanResult} from '@balsamtray/protocol';

/** A plan whose document was found right. */
export type Plan = Extract<PlanResult, {kind: 'planned'}>;

/** Tells a plan in words. Lines that take something away begin with "!". */
export function describePlan(plan: Plan): readonly string[] {
	const head = `based on version ${plan.baseVersion}, document ${plan.digest}`;
	if (plan.lines.length === 0) {
		return [head, 'nothing to change'];
	}

	const lines = plan.lines.map(
		({text, isDestructive}) => `${isDestructive ? '!' : ' '} ${text}`,
	);
	return [head, ...lines];
}

/** Whether the plan takes something away. */
export function isDestructive(plan: Plan): boolean {
	return plan.lines.some(line => line.isDestructive);
}
