/** Submodules of undici. Importing its main module would also load parts that an entry does not use, at every start. */
declare module 'undici/lib/dispatcher/pool.js' {
	export {Pool as default} from 'undici';
}

declare module 'undici/lib/core/connect.js' {
	export {buildConnector as default} from 'undici';
}
