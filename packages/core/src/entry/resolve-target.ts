import type {DispatchTarget} from '../agent/types.js';
import type {Adapter, ConfigView, Route} from '../config/types.js';
import type {BackendKind} from '../membership/types.js';
import {refuseNotRun} from '../refusal/refusals.js';
import type {Refusal, RefusalCode} from '../refusal/types.js';
import type {RequestedWork} from './types.js';

/** Target of a request under one version of the configuration. */
export type ResolvedTarget = {
	readonly target: DispatchTarget;
	readonly backend: BackendKind;
	/** Served name of the adapter version, or the name of the service. */
	readonly subject: string;
	readonly route: Route | undefined;
	readonly adapter: Adapter | undefined;
	readonly isRepeatable: boolean;
	/** Tokens of the prompt, or the fixed cost of a service call. */
	readonly promptTokens: number;
	readonly maxTokens: number;
};

/** Result of `resolveTarget`. */
export type Resolution =
	| {readonly kind: 'resolved'; readonly resolved: ResolvedTarget}
	| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Returns the name under which engines serve an adapter version. */
export function servedNameOf(adapter: string, version: string): string {
	return `${adapter}@${version}`;
}

/** Looks up the adapter version or service that the request names. Routes take precedence over adapters. */
export function resolveTarget(
	work: RequestedWork,
	view: ConfigView,
	entryId: string,
): Resolution {
	if (work.kind === 'service') {
		return resolveService(work.route, view, entryId);
	}

	const route = view.route(work.model);
	if (route?.target.kind === 'adapter') {
		const {adapter, version} = route.target;
		return resolveAdapter({work, view, entryId, route}, adapter, version);
	}

	if (view.adapter(work.model) !== undefined) {
		return resolveAdapter({work, view, entryId}, work.model, undefined);
	}

	const at = work.model.lastIndexOf('@');
	return at > 0
		? resolveAdapter(
				{work, view, entryId},
				work.model.slice(0, at),
				work.model.slice(at + 1),
			)
		: refused('unknown_model', entryId);
}

type ModelLookup = {
	readonly work: RequestedWork & {readonly kind: 'model'};
	readonly view: ConfigView;
	readonly entryId: string;
	readonly route?: Route;
};

function resolveAdapter(
	{work, view, entryId, route}: ModelLookup,
	adapterName: string,
	versionName: string | undefined,
): Resolution {
	const adapter = view.adapter(adapterName);
	const wantedVersion = versionName ?? adapter?.currentVersion;
	const version = adapter?.versions.find(({name}) => name === wantedVersion);
	if (adapter === undefined || version === undefined) {
		return refused('unknown_model', entryId);
	}

	return {
		kind: 'resolved',
		resolved: {
			target: {
				kind: 'adapter',
				adapter: adapter.name,
				version: version.name,
				weights: version.weights,
			},
			backend: {kind: 'engine', baseModel: adapter.baseModel},
			subject: servedNameOf(adapter.name, version.name),
			route,
			adapter,
			isRepeatable: route?.isRepeatable ?? true,
			promptTokens: work.promptTokens,
			maxTokens: work.maxTokens,
		},
	};
}

function resolveService(
	name: string,
	view: ConfigView,
	entryId: string,
): Resolution {
	const route = view.route(name);
	if (route?.target.kind !== 'service') {
		return refused('unknown_route', entryId);
	}

	const {service} = route.target;
	return {
		kind: 'resolved',
		resolved: {
			target: {kind: 'service', service, route: route.name},
			backend: {kind: 'service', service},
			subject: service,
			route,
			adapter: undefined,
			isRepeatable: route.isRepeatable,
			promptTokens: route.tokensPerCall,
			maxTokens: 0,
		},
	};
}

function refused(code: RefusalCode, entryId: string): Resolution {
	return {
		kind: 'refused',
		refusal: refuseNotRun(code, {step: 'route', peer: entryId}),
	};
}
