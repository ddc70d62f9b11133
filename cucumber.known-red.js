import all from "./cucumber.js";

export default { ...all, tags: "@known-red" };
