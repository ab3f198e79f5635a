import type {ConfigView} from '../config/types.js';
import type {Refusal} from '../refusal/types.js';
import type {AgentRefusals} from './agent-refusals.js';
import type {AgentSettings, Dispatch} from './types.js';

/** A refusal by the configuration. */
export type ConfigRefusal = {
	readonly refusal: Refusal;
	/** Version of the entry, where it lacks changes that bear on the request. */
	readonly changesAfter?: number;
};

/** What the configuration, as the agent knows it, has against a dispatch. Undefined where nothing. */
export function checkConfiguration(
	dispatch: Dispatch,
	view: ConfigView,
	settings: AgentSettings,
	refusals: AgentRefusals,
): ConfigRefusal | undefined {
	const isBehind = isEntryBehind(dispatch, view, settings);
	const refusal =
		checkOperatingState(dispatch, view, settings, refusals) ??
		(isBehind ? refusals.configurationBehind() : undefined);
	return (
		refusal && {
			refusal,
			...(isBehind && {changesAfter: dispatch.configVersion}),
		}
	);
}

/** Whether the backend server serves what the dispatch asks for. */
export function isServedBy(
	{target}: Dispatch,
	{backend}: AgentSettings,
): boolean {
	return target.kind === 'service'
		? backend.kind === 'service' && backend.service === target.service
		: backend.kind === 'engine';
}

/** Whether a change that the entry did not know bears on its dispatch. */
function isEntryBehind(
	dispatch: Dispatch,
	view: ConfigView,
	settings: AgentSettings,
): boolean {
	return (
		dispatch.configVersion < view.version &&
		subjectsOf(dispatch, settings).some(
			subject => view.lastTouched(subject) > dispatch.configVersion,
		)
	);
}

function checkOperatingState(
	{keyId}: Dispatch,
	view: ConfigView,
	{zone, server}: AgentSettings,
	refusals: AgentRefusals,
): Refusal | undefined {
	if (keyId !== undefined && view.isKeyWithdrawn(keyId)) {
		return refusals.withdrawnKey();
	}

	if (view.isZoneOut(zone)) {
		return refusals.zoneOut();
	}

	return view.isServerDrained(server) ? refusals.serverLeaving() : undefined;
}

/** Subjects of the configuration that bear on a dispatch. */
function subjectsOf(
	{customer, keyId, route, target}: Dispatch,
	{zone, server}: AgentSettings,
): readonly string[] {
	const subjects = [`customer:${customer}`, `zone:${zone}`, `server:${server}`];
	if (keyId !== undefined) {
		subjects.push(`key:${keyId}`);
	}

	if (route !== undefined) {
		subjects.push(`route:${route}`);
	}

	subjects.push(
		target.kind === 'adapter'
			? `adapter:${target.adapter}`
			: `route:${target.route}`,
	);
	return subjects;
}
